// SPDX-License-Identifier: MIT

package upkeep

// Figures of the pace of filling tasks, in percent of full work and as parts of the target of what serves beside them.
const (
	// PaceUnknown stands for a pace that may not be in force.
	PaceUnknown = -1
	paceFull    = 100
	// paceDownAt is the part of its target above which a serving task's tail slows what fills beside it; paceUpAt is the
	// part under which that may go faster again. Between them nothing changes.
	paceDownAt = 0.85
	paceUpAt   = 0.65
	// paceUpBy is added at each look; down goes by halves, and to nothing under paceLeast.
	paceUpBy  = 10
	paceLeast = 10
)

// Pace returns the share at which filling tasks may work beside a serving task whose tail is at that part of its target:
// quickly down and gently up.
func Pace(now int, tail float64) int {
	switch {
	case now == PaceUnknown:
		return paceLeast
	case tail > 1:
		if now <= paceLeast {
			return 0
		}
		return now / 3
	case tail > paceDownAt:
		if now <= paceLeast {
			return 0
		}
		return now / 2
	case tail < paceUpAt && now < paceFull:
		return min(now+paceUpBy, paceFull)
	}
	return now
}
