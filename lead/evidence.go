// SPDX-License-Identifier: MIT

package lead

import "time"

// storeAnswered records that the store has answered a read.
//
// The leader's silence counts only over time in which the store is known to have answered this entry. After a longer gap
// between two answers nothing is known about the leader, whose renewals may have failed as well, and the election timeout
// starts anew. Until a renewal is due nothing need be known, and a pause before a read is no gap. The caller holds mu.
func (e *Elector) storeAnswered() {
	now := e.Clock.ExactNow() // makes later calls of Now include a suspension that has just ended
	known := latestOf(e.answeredAt, e.lastHeard.Add(renewInterval), e.pausedUntil)
	e.answeredAt = now
	switch {
	case e.latest.Term == 0 || e.latest.Released: // no leader's renewals are missing; a failed read is all that counts
		if !e.failingSince.IsZero() {
			e.lastHeard = now
		}
	case now.Sub(known) > maxAnswerGap:
		e.lastHeard = now
		if now.Sub(known) > outageThreshold {
			e.lastOutage = now
		}
	}
}

// readFailed records that a read that was sent at asked has failed.
func (e *Elector) readFailed(asked time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failingSince.IsZero() {
		e.failingSince = latestOf(asked, e.answeredAt)
	}
}

// latestOf returns the latest of the times.
func latestOf(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
