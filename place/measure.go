// SPDX-License-Identifier: MIT

package place

import (
	"math"
	"time"

	"rackstep.dev/fleet"
)

// Usage is what the platform has reported of one running attempt; reports lag.
type Usage struct {
	// Cores and MemoryMB are the most of the latest reports.
	Cores    float64
	MemoryMB int
	// Ran is how long the attempt has run.
	Ran time.Duration
}

const (
	// usageMargin is the factor by which usage may grow before the next report.
	usageMargin = 1.1
	// settleTime is how long an attempt runs before it is believed to use little.
	settleTime = time.Minute
	// lowering is the part of its charge below which a job gives cores or memory back.
	lowering = 0.75
	// mostUsage bounds what a report is believed, in cores or MB.
	mostUsage = 1 << 30
)

// Measured returns the record that sets the job's charge to what was seen, and false when the charge is near enough.
//
// More is believed at once, less only of an attempt that has run for a while. A job that is held to fewer cores shows
// nothing of what it would use.
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

func withMargin(x float64) int { return max(1, int(math.Ceil(min(x, mostUsage)*usageMargin))) }

func below(want, charged int) bool { return float64(want) <= lowering*float64(charged) }
