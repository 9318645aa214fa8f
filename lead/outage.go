// SPDX-License-Identifier: MIT

package lead

import "time"

// outageThreshold is how long the store must have been unanswering for it to count as an outage. It is below the time after
// which a leader without the store sends orders that it cannot store.
const outageThreshold = time.Second

// outageRetention is how long an outage is remembered. A leader that has renewed since then has either stored what it
// ordered during the outage or says in its record that it has not.
const outageRetention = 5 * time.Second

// recentOutage reports whether this entry has recently seen an outage of the store, or started too recently to know.
func (e *Elector) recentOutage() bool {
	return e.Clock.Since(e.startedAt) < outageRetention || e.Clock.Since(e.lastOutage) < outageRetention
}

// UnansweredFor returns for how long the store has not answered this entry, 0 while it does.
func (e *Elector) UnansweredFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failingSince.IsZero() {
		return 0
	}
	return e.Clock.Since(e.failingSince)
}

// SetUnstored publishes whether the leader may send orders that it cannot store.
func (e *Elector) SetUnstored(unstored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unstored == unstored {
		return
	}
	e.unstored = unstored
	if !unstored {
		e.unstoredPublished = false
	}
	e.startRenewal()
}

// SetPredecessors publishes whether an earlier leader may still send orders, and whether an earlier leader may have sent
// orders that it could not store.
func (e *Elector) SetPredecessors(active, unstored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.predecessorsActive, e.predecessorsUnstored = active, unstored
}

// UnstoredPublished reports whether the store has the information that this leader may send orders that it cannot store,
// so that the next leader will know.
func (e *Elector) UnstoredPublished() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unstoredPublished
}
