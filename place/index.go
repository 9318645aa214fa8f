// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"slices"

	"rackstep.dev/job"
)

// capacityIndex indexes candidates by free capacity, so that the fullest one with enough for a task is found without
// looking at all of them. Placing 1,000 jobs of eight tasks on 780 candidates takes some milliseconds instead of 45.
type capacityIndex struct{ all []*bucket }

// bucket holds the candidates of one total size, the fullest first. Cold workers have buckets of their own.
type bucket struct {
	milliCPU   int
	cold       bool
	candidates []*Candidate
}

func newCapacityIndex(candidates []*Candidate) *capacityIndex {
	s := new(capacityIndex)
	for _, r := range candidates {
		x := s.bucketFor(r)
		x.candidates = append(x.candidates, r)
	}
	for _, x := range s.all {
		slices.SortStableFunc(x.candidates, func(a, b *Candidate) int { return cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU) })
	}
	return s
}

// bucketFor returns the bucket for candidates of the size of r.
func (s *capacityIndex) bucketFor(r *Candidate) *bucket {
	for _, x := range s.all {
		if x.milliCPU == r.Worker.Capacity.MilliCPU && x.cold == r.Cold {
			return x
		}
	}
	x := &bucket{milliCPU: r.Worker.Capacity.MilliCPU, cold: r.Cold}
	s.all = append(s.all, x)
	return x
}

// firstWithFree returns the index of the first candidate with at least that much CPU free.
func (x *bucket) firstWithFree(milliCPU int) int {
	i, _ := slices.BinarySearchFunc(x.candidates, milliCPU, func(r *Candidate, free int) int { return cmp.Compare(r.Free.MilliCPU, free) })
	return i
}

// bestFit returns the candidate with the smallest free part among those with enough free capacity, or nil.
// Candidates on cold workers and the one to be avoided are only returned if there is no other.
func (s *capacityIndex) bestFit(need job.Need, avoid string) *Candidate {
	best, avoided := s.bestFitAmong(false, need, avoid)
	if best != nil {
		return best
	}
	best, coldAvoided := s.bestFitAmong(true, need, avoid)
	return cmp.Or(best, avoided, coldAvoided)
}

// bestFitAmong is bestFit for either the cold or the other workers. The candidate to be avoided is returned
// separately.
func (s *capacityIndex) bestFitAmong(cold bool, need job.Need, avoid string) (best, avoided *Candidate) {
	for _, x := range s.all {
		if x.cold != cold {
			continue
		}
		for _, r := range x.candidates[x.firstWithFree(need.MilliCPU):] {
			if !atLeast(r.Free, need) {
				continue
			}
			if r.Worker.Incarnation == avoid {
				avoided = r
				continue
			}
			if best == nil || r.freePart() < best.freePart() {
				best = r
			}
			break
		}
	}
	return best, avoided
}

// remove removes a candidate and reports whether it was in the index. It must be called before the free capacity of
// the candidate changes, and insert afterwards.
func (s *capacityIndex) remove(r *Candidate) bool {
	x := s.bucketFor(r)
	for i := x.firstWithFree(r.Free.MilliCPU); i < len(x.candidates); i++ {
		if x.candidates[i] == r {
			x.candidates = slices.Delete(x.candidates, i, i+1)
			return true
		}
	}
	return false
}

// insert adds a candidate by its current free capacity.
func (s *capacityIndex) insert(r *Candidate) {
	x := s.bucketFor(r)
	x.candidates = slices.Insert(x.candidates, x.firstWithFree(r.Free.MilliCPU), r)
}

// freePart returns the fraction of the worker's CPU that is free.
func (r *Candidate) freePart() float64 {
	return float64(r.Free.MilliCPU) / float64(max(r.Worker.Capacity.MilliCPU, 1))
}
