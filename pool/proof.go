// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// Timing of the proof that this leader may give orders. docs/design/platform.md contains the argument.
const (
	// quorumValidFor is how long the answers of a majority of workers prove that no other leader has succeeded, counted from when the answered calls were
	// sent. It covers a hold's wait (holdWait) and the time that its answer may take.
	quorumValidFor = 2500 * time.Millisecond
	// quorumFrom is the age of the newest confirmed renewal from which the quorum time is computed at each tick. The proof is not needed before that
	// renewal is lead.ConfirmedFor old, and computing it took an eighth of a tick at 3,000 workers.
	quorumFrom = lead.ConfirmedFor / 2
	// leaseSlack allows for rounding to milliseconds where a lease is passed on.
	leaseSlack = 50 * time.Millisecond
)

// mayOrder reports whether this leader may extend leases and order starts and stops at the given time. The time must have been read before any
// input of the order, because the process can be paused in between.
//
// No task runs twice over a takeover because of a single invariant. A leader gives its last order no later than
//
//   - lead.ConfirmedFor after it sent a renewal that the store accepted, which is before the next leader's term; or
//   - quorumValidFor after it sent calls that a majority of its workers answered under its token, which is no later than
//     quorumValidFor after the next leader has raised the token of as many.
//
// earlierStoppedBy is the same bound from the next leader's point of view.
func (c *session) mayOrder(now time.Time) bool {
	return c.confirmed(now) || c.provedByQuorum(now)
}

// confirmed reports whether the store's confirmations prove that this entry leads.
func (c *session) confirmed(now time.Time) bool {
	return c.laterOf(now).Sub(c.ConfirmedAt()) < lead.ConfirmedFor
}

// laterOf returns the current time if the machine was suspended after the given time was read, and the given time otherwise: a proof that was valid before a
// suspension proves nothing after it. All checks of a proof's age use it.
func (c *session) laterOf(now time.Time) time.Time {
	if present := c.exactNow(); present.After(now) {
		return present
	}
	return now
}

// provedByQuorum reports whether a majority of the listed workers has answered recent calls.
func (c *session) provedByQuorum(now time.Time) bool {
	asked := c.majorityAskedAt.Load()
	return asked != nil && c.laterOf(now).Sub(*asked) < quorumValidFor
}

// instanceCount returns how many instances can run tasks. This is the larger of the numbers in the machine interface's list, which includes instances
// that are not listed because they can't reach the store, and in the list of workers. Both this leader and the next one take a majority of it; if they
// counted different sets, each could reach a majority of its own. Until the machine interface has answered this leader, the previous leader's count
// is used.
func (c *session) instanceCount(listed int) int {
	n := 0
	if c.machinesListedAt.IsZero() {
		n = c.previousInstances
	}
	named := 0
	for _, m := range c.machines {
		if c.config == nil || !c.config.Pools[m.Pool].Headroom {
			named++
		}
	}
	return max(n, named, listed)
}

// updateQuorum updates the set of incarnations that count towards the quorum, and the quorum time when it is needed.
//
// Only incarnations count that were listed when the store last confirmed the lead. An incarnation that has ended since counts as unreachable: at the end of a network
// partition the first thing that an isolated leader may learn is that another leader has ended incarnations.
func (c *session) updateQuorum(now time.Time) {
	if c.confirmed(now) {
		clear(c.readUnconfirmed)
		listed := 0
		for _, w := range c.workers {
			w.listedAtConfirmation = w.listed
			if w.listedAtConfirmation {
				listed++
			}
		}
		c.confirmedInstances = c.instanceCount(listed)
	}
	if now.Sub(c.ConfirmedAt()) >= quorumFrom { // otherwise the renewal proves more, and the last result remains valid
		c.computeQuorumTime()
	}
}

// computeQuorumTime computes the quorum time: the latest time such that the workers of a majority of instances have answered calls sent at that time or later.
func (c *session) computeQuorumTime() {
	asked := c.askTimes[:0]
	for _, w := range c.workers {
		if w.listedAtConfirmation {
			asked = append(asked, w.askedAt)
		}
	}
	c.askTimes = asked
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	var most time.Time
	if half := c.confirmedInstances / 2; half < len(asked) {
		most = asked[half] // more than half were called at this time or later
	}
	c.majorityAskedAt.Store(&most)
}

// updateRaised records when half of the instances have this leader's token. From then on the earlier leader can no longer reach a majority.
func (c *session) updateRaised(now time.Time) {
	if !c.majorityFencedAt.IsZero() {
		return
	}
	// The incarnations that the earlier leader stored count even if they are not listed. Entries of the list lapse while the store is unavailable, and a leader
	// that took over at such a time would regard half of zero instances as sufficient.
	instances := c.instanceCount(len(c.incarnationsByMachine))
	now = c.laterOf(now)
	// This applies even before half of them have answered: if this leader is lost before that, the next one knows nothing about the leader before it.
	if !c.term.CleanHandover && now.After(c.term.PredecessorRenewed.Add(raisedWithin(instances))) {
		c.assumeUnstored("half of the workers were not heard in time")
	}
	if 2*c.answeredCount < instances || !c.earlierIncarnationsHeard() {
		return
	}
	c.majorityFencedAt = now
	c.reportTakeoverStep("fenced", now)
}

// earlierIncarnationsHeard reports whether half of the incarnations that the earlier leader may have counted have this leader's token. Incarnations that started later are in none of
// its majorities. An incarnation that has ended can't answer it any more, but the earlier leader may have ended the incarnation itself by a move and never have counted it,
// so ended incarnations count on neither side.
func (c *session) earlierIncarnationsHeard() bool {
	incarnations, heard := 0, 0
	for _, w := range c.workers {
		if !w.knownAtTakeover {
			continue
		}
		incarnations++
		if w.answered {
			heard++
		}
	}
	return 2*heard >= incarnations
}

// raisedWithin returns how soon after a renewal was read a successor must have its token at half of the instances to be certain that the leader that wrote the
// renewal has not gone on without the store. That leader does so at the earliest unstoredDelay after a renewal that the store confirmed, and a renewal that the
// store accepted without confirmation is at most lead.RenewTimeout newer. The two leaders count instances at different times, so a fifth fewer
// are assumed here.
func raisedWithin(instances int) time.Duration {
	return unstoredDelay(instances*4/5) - lead.RenewTimeout - raisedSlack
}

// raisedSlack allows for the delay between the store and its readers.
const raisedSlack = 100 * time.Millisecond

// earlierRead reports whether an earlier leader may have started a job that the store accepted after the given time.
//
// A leader starts only jobs that it read while a renewal proved its lead, which ends lead.ConfirmedFor after the renewal was sent. The next term is taken only after
// no renewal has been read for longer than that. So no earlier leader can have started a job that the store accepted after the term was
// taken, and c.began is later than that.
func (c *session) earlierRead(after time.Time) bool { return after.Before(c.startedAt) }

// publishEarlier publishes what the next leader must know about the leaders before this one.
func (c *session) publishEarlier(now time.Time) {
	stopped, known := c.earlierStoppedBy()
	unstored := len(c.adoptedUnstored) > 0 || (c.earlierUnstored && c.earlierStartsPossible(now))
	c.PublishEarlierLeaders(!known || now.Before(stopped), unstored)
}

// assumeUnstored assumes from now on that the earlier leader may have started runs that are not stored.
func (c *session) assumeUnstored(why string) {
	if c.earlierUnstored {
		return
	}
	c.earlierUnstored = true
	c.emit(event.TablesRead, event.Subject{Entry: c.Entry}, "the earlier leader may have started what is not kept: %s", why)
}

// earlierStoppedBy returns the time by which the earlier leader has certainly given its last order to a worker, or false while that is unknown.
func (c *session) earlierStoppedBy() (time.Time, bool) {
	if c.term.Exclusive {
		return c.tablesReadAt, true
	}
	if c.majorityFencedAt.IsZero() {
		return time.Time{}, false
	}
	return c.majorityFencedAt.Add(quorumValidFor), true
}

// earlierLeasesOver reports whether every lease that an earlier leader may have granted has expired.
func (c *session) earlierLeasesOver(now time.Time) bool {
	stopped, known := c.earlierStoppedBy()
	return known && now.After(stopped.Add(work.MaxLocal(c.Bounds().Lease)+leaseSlack))
}
