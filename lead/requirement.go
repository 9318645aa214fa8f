// SPDX-License-Identifier: MIT

package lead

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/feed"
)

// capacityKey is the key of the record that says what leading requires.
const capacityKey = "capacity"

// Thresholds for publishing what leading requires.
const (
	// A measurement of more than raiseFactor times the published requirement replaces it at once.
	raiseFactor = 1.2
	// Measurements below lowerFactor times the published requirement replace it once they have lasted for lowerAfter, so that a
	// pause in the load does not lower it.
	lowerFactor = 0.5
	lowerAfter  = time.Minute
)

// capacityRecord is stored under capacityKey. Fields can be added, because readers skip unknown keys of the map.
type capacityRecord struct {
	// Fence is the token of the leader that wrote the record, and Leader its capacity.
	Fence  int64    `cbor:"1,keyasint"`
	Leader Capacity `cbor:"2,keyasint"`
	// Required is what leading requires.
	Required Capacity `cbor:"3,keyasint"`
	// Fittest is the capacity of the fittest entry that is known to the leader.
	Fittest Capacity `cbor:"4,keyasint"`
}

// requirement is what an entry knows about what leading requires, and what it measures while it leads.
type requirement struct {
	// known is set once a record was read or written.
	known bool
	// published is the newest record that was read or written.
	published capacityRecord
	// pending is set until the published record of this leader accompanies a renewal.
	pending bool
	// lowSince is since when a resource has been measured far below the published requirement, and peak the largest
	// measurement since then.
	lowSince [resourceCount]time.Time
	peak     [resourceCount]float64
}

// SetRequirement sets what leading requires now, as this leader measures it. It is published with a renewal when it has changed
// much; until a leader has published one it is unknown.
func (e *Elector) SetRequirement(measured Capacity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm == nil {
		return
	}
	now := e.Clock.Now()
	r := &e.requirement
	next := capacityRecord{Fence: e.fence, Leader: e.Capacity, Required: r.merge(measured, now), Fittest: e.fittest(now)}
	if r.known && next == r.published {
		return
	}
	r.known, r.published, r.pending = true, next, true
}

// merge returns the published requirement, with each resource raised or lowered that the measurement calls for.
func (r *requirement) merge(measured Capacity, now time.Time) Capacity {
	out, m := r.published.Required.resources(), measured.resources()
	for i := range out {
		if m[i] > out[i]*raiseFactor {
			out[i] = m[i]
		}
		switch {
		case m[i] >= out[i]*lowerFactor:
			r.lowSince[i], r.peak[i] = time.Time{}, 0
			continue
		case r.lowSince[i].IsZero():
			r.lowSince[i], r.peak[i] = now, 0
		}
		r.peak[i] = max(r.peak[i], m[i])
		if now.Sub(r.lowSince[i]) >= lowerAfter {
			out[i] = r.peak[i]
			r.lowSince[i] = time.Time{}
		}
	}
	return capacityOf(out)
}

// fittest returns the capacity of the fittest entry that is known: this leader, an entry that reports to it or, for the first
// fittestRetention of a term, the one that its predecessor published. The caller holds mu.
func (e *Elector) fittest(now time.Time) Capacity {
	required := e.requirement.published.Required
	best := e.Capacity
	inherited := e.requirement.published.Fittest
	recent := e.requirement.known && now.Sub(e.tookAt) < fittestRetention
	if recent && inherited.Fitness(required) > best.Fitness(required) {
		best = inherited
	}
	for _, c := range e.reports {
		if now.Sub(c.at) < reportRetention && c.Capacity.Fitness(required) > best.Fitness(required) {
			best = c.Capacity
		}
	}
	return best
}

// Requirement returns what leading requires, and false while that is unknown.
func (e *Elector) Requirement() (Capacity, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requirement.published.Required, e.requirement.known
}

// Fitness returns the smallest ratio of what this entry has to what leading requires, at most 1.
func (e *Elector) Fitness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fitness()
}

// fitness is Fitness for callers that hold mu.
func (e *Elector) fitness() float64 { return e.Capacity.Fitness(e.requirement.published.Required) }

// takeCapacityRecord returns the record to append with the next renewal, if there is one.
func (e *Elector) takeCapacityRecord() []feed.KeyedRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.requirement.pending || e.requirement.published.Fence != e.fence {
		return nil
	}
	value, err := cbor.Marshal(e.requirement.published)
	if err != nil {
		return nil // plain numbers are always encoded
	}
	e.requirement.pending = false
	return []feed.KeyedRecord{{Key: capacityKey, Value: value}}
}

// applyCapacity applies a record of capacityKey. The caller holds mu.
func (e *Elector) applyCapacity(value []byte) {
	var r capacityRecord
	if cbor.Unmarshal(value, &r) != nil { // the requirement that is known stays valid
		return
	}
	if r.Fence < e.requirement.published.Fence || e.cancelTerm != nil { // a leader knows its own records
		return
	}
	e.requirement.known, e.requirement.published, e.requirement.pending = true, r, false
}
