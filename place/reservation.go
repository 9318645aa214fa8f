// SPDX-License-Identifier: MIT

package place

import "rackstep.dev/job"

const (
	// maxReserved is the maximum number of candidates that are reserved for tasks that are not lasting.
	maxReserved = 2
	// maxReservedShare is the fraction of all candidates that may be reserved at the same time, so that the tasks
	// that fit go on whatever waits. One may always be reserved.
	maxReservedShare = 0.5
)

// reservations bounds the candidates that are kept free for tasks that do not fit yet.
type reservations struct {
	// all are the candidates at the start of the pass.
	all []*Candidate
	// reserved is the number of reserved candidates, and reservedForFinite that of those for tasks that are not
	// lasting.
	reserved, reservedForFinite int
}

func newReservations(candidates []*Candidate) reservations { return reservations{all: candidates} }

// mayReserve reports whether a candidate may be reserved for the group. A group for which the running tasks leave no
// capacity even when they have ended reserves none, since it would wait in vain.
func (s *reservations) mayReserve(g *Group) bool {
	step := g.step()
	if s.reserved >= max(int(maxReservedShare*float64(len(s.all))), 1) {
		return false
	}
	if !step.Lasting && s.reservedForFinite >= maxReserved {
		return false
	}
	return !step.Gang || g.couldFitTogether(s.all)
}

func (s *reservations) countReservation(lasting bool) {
	s.reserved++
	if !lasting {
		s.reservedForFinite++
	}
}

// withoutFinite returns the capacity that is free once all tasks that are not lasting have ended.
func (r *Candidate) withoutFinite() job.Need { return r.Worker.Capacity.Minus(r.HeldByLasting) }

// couldFitTogether reports whether the candidates have capacity for all tasks of the group once the running tasks
// that are not lasting have ended.
func (g *Group) couldFitTogether(candidates []*Candidate) bool {
	left := len(g.Tasks)
	for _, r := range candidates {
		later := Candidate{Worker: r.Worker, Free: r.withoutFinite()}
		if left -= g.Fits(&later); left <= 0 {
			return true
		}
	}
	return false
}

// emptiest returns the emptiest candidate that the step may use once the running tasks that are not lasting have
// ended, or nil.
func emptiest(g *Group, step *job.Step, candidates []*Candidate) *Candidate {
	var best *Candidate
	for _, r := range candidates {
		if !atLeast(r.withoutFinite(), charge(step)) || !mayRun(g, step, r) {
			continue
		}
		if best == nil || r.Free.MilliCPU > best.Free.MilliCPU {
			best = r
		}
	}
	return best
}
