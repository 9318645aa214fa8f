// SPDX-License-Identifier: MIT

package place

import (
	"math"
	"time"

	"rackstep.dev/fleet"
)

// Usage is the resource usage that the platform has reported for one running attempt. Reports lag behind.
type Usage struct {
	// Cores and MemoryMB are the maxima of the latest reports.
	Cores    float64
	MemoryMB int
	// Ran is how long the attempt has been running.
	Ran time.Duration
}

const (
	// usageMargin is the factor by which usage is expected to grow at most before the next report.
	usageMargin = 1.1
	// settleTime is how long an attempt must have run before a low usage is trusted.
	settleTime = time.Minute
	// lowerBelow is the fraction of its charge that a job's usage, with the margin, must not exceed for the charge to be lowered.
	lowerBelow = 0.75
	// maxUsage is the largest reported value that is taken into account, in cores or MB.
	maxUsage = 1 << 30
)

// Measured returns a record that adjusts the charge of a job to its reported usage, and whether the charge needs
// adjusting.
//
// The charge is raised at once but lowered only after the attempt has run for a while. The usage of a throttled job
// does not show what it would use without the limit.
func Measured(j *fleet.Job, s Usage) (fleet.Measure, bool) {
	charged := j.Charged()
	want := fleet.Measure{Job: j.ID, Attempt: j.Attempt, Cores: withMargin(s.Cores), MemoryMB: withMargin(float64(s.MemoryMB))}
	if j.Limit > 0 || j.State != fleet.JobRunning {
		return want, false
	}
	more := s.Cores > float64(charged.Cores) || s.MemoryMB > charged.MemoryMB
	less := s.Ran >= settleTime && (below(want.Cores, charged.Cores) || below(want.MemoryMB, charged.MemoryMB))
	if more && s.Ran < settleTime {
		want.Cores = max(want.Cores, charged.Cores)
		want.MemoryMB = max(want.MemoryMB, charged.MemoryMB)
	}
	changes := want.Cores != charged.Cores || want.MemoryMB != charged.MemoryMB
	return want, (more || less) && changes
}

func withMargin(x float64) int { return max(1, int(math.Ceil(min(x, maxUsage)*usageMargin))) }

func below(want, charged int) bool { return float64(want) <= lowerBelow*float64(charged) }
