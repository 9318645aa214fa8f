// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// Times of the proof that this leader may give orders. docs/design/platform.md has the argument that rests on them.
const (
	// provedFor is how long the answers of most workers prove that no other leader has followed, counted from when they
	// were asked: a waiting hold (holdWait) and what its answer may take.
	provedFor = 2500 * time.Millisecond
	// proofsFrom is how old the newest confirmed renewal must be for the workers' answers to be counted: nobody asks for that
	// proof before the renewal is lead.ConfirmedFor old, and it is counted each tick. It took an eighth of a tick at 3,000 workers.
	proofsFrom = lead.ConfirmedFor / 2
	// doubtSlack is for what is rounded to milliseconds on the way of a lease.
	doubtSlack = 50 * time.Millisecond
)

// mayOrder says whether this leader may extend leases, start or stop anything at the time, which must have been read
// before whatever the order is made of: a process can stand still between the two.
//
// The one invariant behind "no task runs twice" over a takeover: a leader gives its last order no later than
//
//   - lead.ConfirmedFor after it sent a renewal that the store took, so before the next leader's term; or
//   - provedFor after it asked the most of its workers something that they answered under its token, so no later than
//     provedFor after the next leader has raised the token of as many.
//
// stoppedBy is the same bound as the next leader counts it.
func (c *session) mayOrder(now time.Time) bool {
	return c.confirmed(now) || c.provedByMost(now)
}

// confirmed says whether the store's word proves that this entry leads.
func (c *session) confirmed(now time.Time) bool {
	return c.exact(now).Sub(c.ConfirmedAt()) < lead.ConfirmedFor
}

// exact returns the time, or the present one if the machine was suspended since: what was fresh before proves nothing after it. Every proof
// that grows old asks here, so that none is older than whoever uses it knows.
func (c *session) exact(now time.Time) time.Time {
	if present := c.exactNow(); present.After(now) {
		return present
	}
	return now
}

// provedByMost says whether most listed workers have answered what they were asked lately.
func (c *session) provedByMost(now time.Time) bool {
	asked := c.mostAsked.Load()
	return asked != nil && c.exact(now).Sub(*asked) < provedFor
}

// instances returns how many instances there are that could run something: by the machine interface, which knows also those
// that can't reach the store and are no longer listed, or by the list if that names more. It is the base of "most" for
// this leader and for the next: two leaders that count different sets could both reach most of their own. Until the machine
// interface has answered this leader, the number that the one before had counted stands in.
func (c *session) instances(listed int) int {
	n := 0
	if c.machinesRead.IsZero() {
		n = c.keptInstances
	}
	named := 0
	for _, m := range c.machines {
		if c.config == nil || !c.config.Pools[m.Pool].Headroom {
			named++
		}
	}
	return max(n, named, listed)
}

// countProofs notes the time since which most instances have been asked something that their workers answered.
//
// Only lives count that were listed when the store last confirmed the lead. One that has ended since counts as not reached:
// what a leader that was cut off learns first, when the cut ends, is which lives another leader has ended.
func (c *session) countProofs(now time.Time) {
	if c.confirmed(now) {
		clear(c.readUnsure)
		listed := 0
		for _, w := range c.workers {
			w.sure = w.listed
			if w.sure {
				listed++
			}
		}
		c.sure = c.instances(listed)
	}
	if now.Sub(c.ConfirmedAt()) >= proofsFrom { // else the renewal proves more; what was worked out before holds as it did
		c.sortAsked()
	}
}

// sortAsked works out the time since which most instances have been asked something that their workers answered.
func (c *session) sortAsked() {
	asked := c.asked[:0]
	for _, w := range c.workers {
		if w.sure {
			asked = append(asked, w.asked)
		}
	}
	c.asked = asked
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	var most time.Time
	if half := c.sure / 2; half < len(asked) {
		most = asked[half] // more than half were asked no earlier
	}
	c.mostAsked.Store(&most)
}

// countRaised notes when half of the instances have this leader's token: the earlier one can't reach most any more.
func (c *session) countRaised(now time.Time) {
	if !c.raised.IsZero() {
		return
	}
	// Lives that the earlier leader kept count whether they are listed or not: entries lapse while the store is away, and a
	// leader that took over just then counted half of none as enough.
	instances := c.instances(len(c.lives))
	now = c.exact(now)
	// Also while half of them are not heard: this leader may be lost before they are, and the next one knows nothing of the leader before this one.
	if now.After(c.term.PredecessorRenewed.Add(raisedWithin(instances))) {
		c.beCoarse("half of the workers were not heard in time")
	}
	if 2*c.heard < instances || !c.heardOfEarlier() {
		return
	}
	c.raised = now
	c.takeoverStep("fenced", now)
}

// heardOfEarlier says whether half of the lives that the earlier leader may have counted have this leader's token. Lives that began
// since are in none of its majorities. One that has ended answers it no more, but it may have ended by the earlier leader's own move and
// never have counted, so those count on neither side.
func (c *session) heardOfEarlier() bool {
	lives, heard := 0, 0
	for _, w := range c.workers {
		if !w.before {
			continue
		}
		lives++
		if w.heard {
			heard++
		}
	}
	return 2*heard >= lives
}

// raisedWithin returns how soon after a renewal was read a successor must have its token at half of the instances, so that the
// leader whose renewal it was can't have gone on without the store: that begins blindFor after a renewal that the store
// confirmed, and one that it took without a word is at the most lead.RenewTimeout newer. Both leaders count instances, but not
// in the same moment, so that a fifth fewer are taken here.
func raisedWithin(instances int) time.Duration {
	return blindFor(instances*4/5) - lead.RenewTimeout - raisedSlack
}

// raisedSlack is for what passes between the store and its reader.
const raisedSlack = 100 * time.Millisecond

// earlierRead says whether an earlier leader may have started a job that the store took after the time.
//
// A leader starts only what it read while a renewal proved its lead, so no later than lead.ConfirmedFor after that one was
// sent. The next term is taken only when none was read for longer than that, so what the store took after the term was taken
// no earlier leader can have started; c.began is after that.
func (c *session) earlierRead(after time.Time) bool { return after.Before(c.began) }

// tellOfEarlier publishes what is still open of the leaders before, for the next one.
func (c *session) tellOfEarlier(now time.Time) {
	stopped, known := c.stoppedBy()
	c.PublishEarlierLeaders(!known || now.Before(stopped), c.coarse && !c.doubtOver(now))
}

// beCoarse takes it that the earlier leader may have started what is not kept.
func (c *session) beCoarse(why string) {
	if c.coarse || c.term.CleanHandover {
		return
	}
	c.coarse = true
	c.emit(event.TablesRead, event.Subject{Entry: c.Entry}, "the earlier leader may have started what is not kept: %s", why)
}

// stoppedBy returns by when the earlier leader has surely given its last order to a worker; false while nobody can say.
func (c *session) stoppedBy() (time.Time, bool) {
	if c.term.Exclusive {
		return c.readAt, true
	}
	if c.raised.IsZero() {
		return time.Time{}, false
	}
	return c.raised.Add(provedFor), true
}

// doubtOver says whether all that the earlier leader can have leased on any worker has ended.
func (c *session) doubtOver(now time.Time) bool {
	stopped, known := c.stoppedBy()
	return known && now.After(stopped.Add(work.MaxLocal(c.Bounds().Lease)+doubtSlack))
}
