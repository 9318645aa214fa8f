// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// mode is a degraded mode of operation of a leader. Each mode begins and ends by a single condition that load alone
// can't sustain. Its begin and end are logged, and the time spent in it is measured.
type mode uint8

// Degraded modes.
const (
	// modeStoreSlow: a batch has been in flight for storeSlowAfter, and the next leader is told that orders may be sent
	// before they are stored. The mode ends when a batch is answered in less time and every run that was ordered is
	// stored.
	modeStoreSlow mode = iota
	// modeUnkeptOrders: orders are sent before they are stored. It ends together with modeStoreSlow.
	modeUnkeptOrders
	// modeUnconfirmed: the store has not confirmed the lead for lead.ConfirmedFor. It ends with the confirmation of a
	// newer renewal.
	modeUnconfirmed
	// modeHearing: inherited jobs wait until half of the instances have this leader's token.
	modeHearing
	// modeOrphans: an earlier leader may have sent starts that are not stored, so inherited tasks start only at the workers to
	// which they are assigned. It ends when none of those starts can be carried out any more.
	modeOrphans
	// modeAside: the store rejects some records for good, and whatever depends on them waits. It ends when these
	// records have changed and been stored, or are no longer needed.
	modeAside
	// modeCrowded: connections to workers are scarce, so workers without work are polled rarely.
	modeCrowded
	modeCount
)

// String returns the name of the mode in logs and metrics.
func (m mode) String() string {
	return [modeCount]string{"store-slow", "unkept-orders", "unconfirmed", "hearing", "orphans", "records-aside", "crowded"}[m]
}

// inMode reports whether the leader is in the mode.
func (c *session) inMode(m mode) bool { return !c.modeSince[m].IsZero() }

// setMode begins or ends a mode if its state changes.
func (c *session) setMode(m mode, on bool, now time.Time, why string) {
	if on == c.inMode(m) {
		return
	}
	if on {
		c.modeSince[m] = now
		c.emit(event.ModeBegun, event.Subject{Entry: c.Entry}, "mode=%v why=%q", m, why)
		return
	}
	lasted := now.Sub(c.modeSince[m])
	c.modeSince[m] = time.Time{}
	c.counts.modeLasted(m, lasted)
	c.emit(event.ModeEnded, event.Subject{Entry: c.Entry}, "mode=%v lasted=%v why=%q", m, lasted.Round(time.Millisecond), why)
}

// endModes ends all modes at the end of the term.
func (c *session) endModes(now time.Time) {
	for m := range modeCount {
		c.setMode(m, false, now, "the lead has ended")
	}
}

// reportTakeoverStep logs and measures a step of the takeover when it is first reached.
func (c *session) reportTakeoverStep(name string, now time.Time) {
	if c.takeoverSteps[name] {
		return
	}
	c.takeoverSteps[name] = true
	after := now.Sub(c.startedAt)
	c.counts.takeover(name, after)
	c.emit(event.TakeoverStep, event.Subject{Entry: c.Entry}, "step=%s after=%v term=%d heard=%d of %d", name, after.Round(time.Millisecond), c.term.Number, c.answeredCount, len(c.workers))
}

// updateModes updates the modes that follow from the state of other tables.
func (c *session) updateModes(now time.Time) {
	c.setMode(modeUnconfirmed, !c.confirmed(now), now, "newest confirmed renewal")
	c.setMode(modeHearing, !c.term.CleanHandover && c.majorityFencedAt.IsZero(), now, "half of the instances have this leader's token")
	if len(c.uncertainIncarnations) == 0 {
		c.reportTakeoverStep("all-heard", now)
	}
	c.setMode(modeAside, len(c.aside) > 0, now, "what was aside is kept, or gone")
	c.setMode(modeCrowded, c.crowded(), now, "connections to workers")
	c.setMode(modeOrphans, c.earlierUnstored && c.earlierStartsPossible(now), now, "unstored starts of an earlier leader")
}
