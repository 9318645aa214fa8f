// SPDX-License-Identifier: MIT

package lead

import "time"

// longSilence is how long the store must not have answered to count as an outage: under the time after which a leader
// without the store orders what it can't keep.
const longSilence = time.Second

// outageMemory is how long an outage is remembered: a leader that has renewed since has kept what it ordered meanwhile, or
// says in its record that it has not.
const outageMemory = 5 * time.Second

// sawOutage says whether the store lately did not answer this entry for long, or the entry has only begun.
func (e *Elector) sawOutage() bool {
	return e.Clock.Since(e.began) < outageMemory || e.Clock.Since(e.outage) < outageMemory
}

// UnansweredFor returns for how long the store has not answered this entry, 0 while it does.
func (e *Elector) UnansweredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing.IsZero() {
		return 0
	}
	return e.Clock.Since(e.failing)
}

// SetUnstored publishes whether the leader may order what it can't keep.
func (e *Elector) SetUnstored(loose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loose == loose {
		return
	}
	e.loose = loose
	if !loose {
		e.looseKept = false
	}
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

// SetPredecessors publishes whether a leader before this one may still give orders, and whether one may have ordered what it could
// not keep.
func (e *Elector) SetPredecessors(open, coarse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open, e.coarse = open, coarse
}

// UnstoredPublished says whether the next leader will know that this one may have ordered what it could not keep.
func (e *Elector) UnstoredPublished() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.looseKept
}
