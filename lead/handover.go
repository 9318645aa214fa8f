// SPDX-License-Identifier: MIT

package lead

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/feed"
)

// successorKey is the key of the record that names the entry to which a leader hands over. It is appended in one batch with the
// record that releases the term.
const successorKey = "successor"

// Times of a handover to a named entry.
const (
	// successorWait is how long the other entries leave a released term to its named receiver, which takes it as soon as it has
	// read the records.
	successorWait = 400 * time.Millisecond
	// handOverInterval is the shortest time between two handovers to named entries, so that leadership does not move back and
	// forth when what entries report fluctuates.
	handOverInterval = 30 * time.Second
	// ReportInterval is the time between two reports of an entry to a leader that is less fit. A report counts for
	// reportRetention, which allows for one lost report.
	ReportInterval  = time.Second
	reportRetention = 2500 * time.Millisecond
	// fittestRetention is how long a new leader relies on its predecessor's knowledge of the fittest entry.
	fittestRetention = 10 * time.Second
	// minFitnessGain is how much fitter the receiver of a handover must be. No starts are sent during a handover, and a smaller
	// gain does not make up for that.
	minFitnessGain = 0.2
)

// Candidate is an entry that could lead, as it reports itself.
type Candidate struct {
	Entry, Boot string
	Capacity    Capacity
}

// report is the newest report of an entry.
type report struct {
	Candidate
	at time.Time
}

// successorRecord is stored under successorKey.
type successorRecord struct {
	// Entry and Boot name the receiver. Fence is the token of the released term.
	Entry string `cbor:"1,keyasint"`
	Boot  string `cbor:"2,keyasint"`
	Fence int64  `cbor:"3,keyasint"`
}

// Report records that an entry has told this leader that it is well.
func (e *Elector) Report(c Candidate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm == nil {
		return
	}
	if e.reports == nil {
		e.reports = make(map[string]report)
	}
	e.reports[c.Entry] = report{Candidate: c, at: e.Clock.Now()}
}

// ShouldReport reports whether this entry is to tell the leader that it is well: the leader has published that it is less fit,
// the store answers this entry, and this entry may become leader.
func (e *Elector) ShouldReport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canRelieveLeader() && e.failingSince.IsZero() && !e.Clock.Now().Before(e.notBefore) && (e.Eligible == nil || e.Eligible())
}

// canRelieveLeader reports whether this entry is fitter than the leader by enough for a handover. The caller holds mu.
func (e *Elector) canRelieveLeader() bool {
	p := e.requirement.published
	return e.cancelTerm == nil && !e.resigned && p.Fence == e.latest.Fence && e.requirement.known &&
		e.fitness() >= p.Leader.Fitness(p.Required)+minFitnessGain
}

// Successor returns the fittest entry that has reported lately, if it is fitter than this leader by enough for a handover. While a
// handover is in progress or the last one is recent, it returns none.
func (e *Elector) Successor() (Candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if e.cancelTerm == nil || e.successor != nil || !e.requirement.known || now.Sub(e.handedOverAt) < handOverInterval {
		return Candidate{}, false
	}
	required := e.requirement.published.Required
	var best Candidate
	fitness := e.fitness() + minFitnessGain
	for _, r := range e.reports {
		f := r.Capacity.Fitness(required)
		if now.Sub(r.at) < reportRetention && (f > fitness || f == fitness && best.Entry == "") {
			best, fitness = r.Candidate, f
		}
	}
	return best, best.Entry != ""
}

// HandOverTo gives up the term that has the fence like HandOver, in favour of a candidate, which takes the next one at once.
func (e *Elector) HandOverTo(fence int64, to Candidate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm == nil || e.fence != fence || e.successor != nil {
		return
	}
	e.successor = &successorRecord{Entry: to.Entry, Boot: to.Boot, Fence: fence}
	e.handoverDue = true
	e.startRenewal()
}

// endIfHandoverDue ends the term if it is to be handed over.
func (e *Elector) endIfHandoverDue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handoverDue && e.cancelTerm != nil {
		e.handoverDue, e.handingOver = false, true
		e.notBefore = e.Clock.Now().Add(handOverPause)
		e.cancelTerm()
	}
}

// takeSuccessorRecord returns the record to append with the one that releases the term.
func (e *Elector) takeSuccessorRecord() []feed.KeyedRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor == nil {
		return nil
	}
	value, err := cbor.Marshal(*e.successor)
	e.successor = nil
	if err != nil {
		return nil // plain strings and numbers are always encoded
	}
	return []feed.KeyedRecord{{Key: successorKey, Value: value}}
}

// applySuccessor applies a record of successorKey. The caller holds mu.
func (e *Elector) applySuccessor(value []byte) {
	var r successorRecord
	if cbor.Unmarshal(value, &r) != nil || r.Fence < e.namedSuccessor.Fence {
		return // without a readable name the term is open to all
	}
	e.namedSuccessor, e.handedOverAt = r, e.Clock.Now()
}

// successorDelay returns how long this entry leaves a released term to its named receiver, and whether it is the receiver. The
// caller holds mu.
func (e *Elector) successorDelay() (time.Duration, bool) {
	switch {
	case e.namedSuccessor.Fence != e.latest.Fence || !e.latest.Released:
		return 0, false
	case e.namedSuccessor.Entry == e.Entry && e.namedSuccessor.Boot == e.Boot:
		return 0, true
	}
	return successorWait, false
}
