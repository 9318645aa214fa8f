// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

// mode is a degraded way in which a leader works for a time. Each begins and ends by one condition that load alone can't hold
// up; both are told, and the time spent in it is counted.
type mode uint8

// Degraded modes.
const (
	// modeStoreSlow: a batch has been on its way for slowAfter; the next leader is told that orders may leave before they are
	// kept. It ends with a batch that was answered in less, once nothing is left that was ordered without being kept.
	modeStoreSlow mode = iota
	// modeUnkeptOrders: orders leave before they are kept. It ends with modeStoreSlow.
	modeUnkeptOrders
	// modeUnconfirmed: the store has not confirmed the lead for lead.ConfirmedFor. It ends with a renewal that is newer.
	modeUnconfirmed
	// modeHearing: earlier jobs wait until half of the instances have this leader's token.
	modeHearing
	// modeOrphans: an earlier leader may have started what is not kept, so that earlier jobs wait for all workers of their
	// pool. It ends when they have answered, or when the last lease of that leader is over.
	modeOrphans
	// modeAside: records are aside that the store never takes, and what rests on them waits. It ends when they have changed and are kept, or are gone.
	modeAside
	// modeCrowded: connections to workers are short, and those without work are asked seldom.
	modeCrowded
	modes
)

// String returns the mode's name as logs and metrics have it.
func (m mode) String() string {
	return [modes]string{"store-slow", "unkept-orders", "unconfirmed", "hearing", "orphans", "records-aside", "crowded"}[m]
}

// is says whether the leader is in the mode.
func (c *session) is(m mode) bool { return !c.modeSince[m].IsZero() }

// setMode begins or ends a mode, if that is news.
func (c *session) setMode(m mode, on bool, now time.Time, why string) {
	if on == c.is(m) {
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

// endModes tells of all modes that end because the lead does.
func (c *session) endModes(now time.Time) {
	for m := range modes {
		c.setMode(m, false, now, "the lead has ended")
	}
}

// takeoverStep tells, once, that a new leader has reached a step of taking over.
func (c *session) takeoverStep(name string, now time.Time) {
	if c.steps[name] {
		return
	}
	c.steps[name] = true
	after := now.Sub(c.began)
	c.counts.takeover(name, after)
	c.emit(event.TakeoverStep, event.Subject{Entry: c.Entry}, "step=%s after=%v term=%d heard=%d of %d", name, after.Round(time.Millisecond), c.term.Number, c.heard, len(c.workers))
}

// watchModes keeps those modes true that follow from other tables.
func (c *session) watchModes(now time.Time) {
	c.setMode(modeUnconfirmed, !c.confirmed(now), now, "newest confirmed renewal")
	c.setMode(modeHearing, !c.term.CleanHandover && c.raised.IsZero(), now, "half of the instances have this leader's token")
	if len(c.unheard) == 0 {
		c.takeoverStep("all-heard", now)
	}
	c.setMode(modeAside, len(c.aside) > 0, now, "what was aside is kept, or gone")
	c.setMode(modeCrowded, c.crowded(), now, "connections to workers")
	c.setMode(modeOrphans, c.coarse && len(c.unheard) > 0, now, "workers that have not answered")
}
