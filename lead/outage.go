// SPDX-License-Identifier: MIT

package lead

import "time"

// outageThreshold is how long the store must have been unanswering for it to count as an outage. It is below the time after
// which a leader without the store sends orders that it cannot persist.
const outageThreshold = time.Second

// outageRetention is how long an outage is remembered. A leader that has renewed since then has either persisted what it
// ordered during the outage or says in its record that it has not.
const outageRetention = 5 * time.Second

// recentOutage reports whether this entry has recently seen an outage of the store, or started too recently to know.
func (e *Elector) recentOutage() bool {
	return e.Clock.Since(e.startedAt) < outageRetention || e.Clock.Since(e.lastOutage) < outageRetention
}

// UnansweredFor returns for how long the store has not answered this entry, 0 while it does.
func (e *Elector) Silence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failingSince.IsZero() {
		return 0
	}
	return e.Clock.Since(e.failingSince)
}

// SetUnpersisted publishes whether the leader may send orders that it cannot persist.
func (e *Elector) SetLoose(unpersisted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unpersisted == unpersisted {
		return
	}
	e.unpersisted = unpersisted
	if !unpersisted {
		e.unpersistedPublished = false
	}
	select {
	case e.renewNow <- struct{}{}:
	default:
	}
}

// SetPredecessors publishes whether an earlier leader may still send orders, and whether an earlier leader may have sent
// orders that it could not persist.
func (e *Elector) SetEarlier(active, unpersisted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.predecessorsActive, e.predecessorsUnpersisted = active, unpersisted
}

// UnpersistedPublished reports whether the store has the information that this leader may send orders that it cannot persist,
// so that the next leader will know.
func (e *Elector) LooseKept() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unpersistedPublished
}
