// SPDX-License-Identifier: MIT

package maintenance

// Parameters of the pace of filling tasks. Paces are percentages of full work; thresholds are fractions of the tail
// latency target of the serving tasks on the same worker.
const (
	// PaceUnknown stands for a pace that may not have taken effect.
	PaceUnknown = -1
	fullPace    = 100
	// Above slowDownAbove the filling task is slowed down, below speedUpBelow it is sped up. In between, the pace
	// stays the same.
	slowDownAbove = 0.85
	speedUpBelow  = 0.65
	// paceStep is added at each speed-up. A slow-down divides the pace; one at or below minPace is set to 0.
	paceStep = 10
	minPace  = 10
)

// Pace returns the new pace of filling tasks beside a serving task, given their current pace and the serving task's
// tail latency as a fraction of its target. The pace falls quickly and rises slowly.
func Pace(now int, tail float64) int {
	switch {
	case now == PaceUnknown:
		return minPace
	case tail > 1:
		if now <= minPace {
			return 0
		}
		return now / 3
	case tail > slowDownAbove:
		if now <= minPace {
			return 0
		}
		return now / 2
	case tail < speedUpBelow && now < fullPace:
		return min(now+paceStep, fullPace)
	}
	return now
}
