// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
)

// faultyStore is a store of which calls can be held until it is back, and long polls left without an answer.
type faultyStore struct {
	mu sync.Mutex
	// back is closed when held calls go on; nil while no call is held. After that they fail if lost is set.
	back chan struct{}
	lost bool
	// swallowed holds the entries whose long polls are never answered.
	swallowed map[string]bool
	// deadProbes is the number of the first probes of a read that are never answered.
	deadProbes int
}

// hold holds all calls until the returned function is called; then they go on, or fail if lost is set.
func (f *faultyStore) hold(lost bool) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	back := make(chan struct{})
	f.back, f.lost = back, lost
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.back = nil
		close(back)
	}
}

// pass waits while calls are held, and returns an error if the call is lost.
func (f *faultyStore) pass(ctx context.Context) error {
	f.mu.Lock()
	back, lost := f.back, f.lost
	f.mu.Unlock()
	if back == nil {
		return nil
	}
	select {
	case <-back:
		if lost {
			<-ctx.Done()
			return feed.ErrUncertain
		}
		return nil
	case <-ctx.Done():
		return feed.ErrUncertain
	}
}

// view returns the store as an entry sees it. A call that is made while the store holds calls waits, and so does the answer
// of a call that was made before.
func (f *faultyStore) view(tp *memoryTopic, entry string) feed.Topic {
	topic := delayedTopic(tp, entry, func() time.Duration { return 2 * time.Millisecond })
	appendTo, read, newest := topic.Append, topic.Read, topic.Newest
	topic.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
		if err := f.pass(ctx); err != nil {
			return 0, err
		}
		return appendTo(ctx, b)
	}
	topic.Newest = func(ctx context.Context) (feed.KeyedPage, error) {
		if err := f.pass(ctx); err != nil {
			return feed.KeyedPage{}, err
		}
		return newest(ctx)
	}
	held := func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
		if err := f.pass(ctx); err != nil {
			return feed.KeyedPage{}, err
		}
		page, err := read(ctx, from, wait)
		if err == nil {
			err = f.pass(ctx)
		}
		return page, err
	}
	silent := func(ctx context.Context, dead bool) bool {
		if dead {
			<-ctx.Done()
		}
		return dead
	}
	topic.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
		f.mu.Lock()
		dead := f.swallowed[entry]
		f.mu.Unlock()
		if silent(ctx, dead) {
			return feed.KeyedPage{}, feed.ErrUncertain
		}
		return held(ctx, from, wait)
	}
	topic.Probe = func(ctx context.Context, from int64, attempt int) (feed.KeyedPage, error) {
		if silent(ctx, attempt < f.deadProbes) {
			return feed.KeyedPage{}, feed.ErrUncertain
		}
		return held(ctx, from, 0)
	}
	return topic
}

// sizedGroup returns a running group of large entries and then small ones.
func sizedGroup(t *testing.T, f *faultyStore, large, small int) *electorGroup {
	return newSizedGroup(t, large+small, f.view, func(i int, e *Elector) {
		e.Weight = 0.8
		if i >= large {
			e.Weight = 0.192
		}
	})
}

// awaitTerms waits until the group has had n terms and returns how long that took.
func awaitTerms(c *quicktest.C, g *electorGroup, n int) time.Duration {
	began := time.Now()
	for g.termCount() < n {
		c.Assert(time.Since(began) < 20*time.Second, quicktest.IsTrue, quicktest.Commentf("no takeover"))
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestUnansweredLongPollsDoNotDelayATakeover has a cut take the leader away and leave the long polls of all other large entries
// without an answer, while other routes to the store work. A large entry must take over, and no later than with long polls that
// are answered. It guards against a takeover by a small entry whose next read is sent only after the cut.
func TestUnansweredLongPollsDoNotDelayATakeover(t *testing.T) {
	for _, dead := range []int{0, 1, 2} {
		for phase := range 8 {
			inBubble(t, func(t *testing.T, c *quicktest.C) {
				f := &faultyStore{swallowed: make(map[string]bool), deadProbes: dead}
				g := sizedGroup(t, f, 4, 8)
				time.Sleep(8*time.Second + time.Duration(phase)*50*time.Millisecond)
				old := g.leader(c)
				c.Assert(old.Weight, quicktest.Equals, 0.8)
				f.mu.Lock()
				for _, e := range g.electors {
					f.swallowed[e.Entry] = e.Weight == 0.8
				}
				f.mu.Unlock()
				g.topic.setFailing(old.Entry, true)
				took := awaitTerms(c, g, 2)
				c.Check(g.newestHolder().Weight, quicktest.Equals, 0.8, quicktest.Commentf("%d dead probes, phase %d: after %v", dead, phase, took))
				// Probes without an answer delay the last read before the append and the reading back of the term's record.
				bound := electionTimeout + maxJitter + 100*time.Millisecond + 2*time.Duration(dead)*probeInterval
				c.Check(took < bound, quicktest.IsTrue, quicktest.Commentf("%d dead probes, phase %d: after %v", dead, phase, took))
			})
		}
	}
}

// TestAStoreThatHangsForAllEndsNoLead holds all calls to the store for a while, after which they are answered or lost. The
// leader is alive, so nobody may take over, also not when the store is back and the leader's renewal is still on its way.
func TestAStoreThatHangsForAllEndsNoLead(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for hang := 100 * time.Millisecond; hang < 5*time.Second; hang += 130 * time.Millisecond {
			for phase := range 5 {
				inBubble(t, func(t *testing.T, c *quicktest.C) {
					f := new(faultyStore)
					g := sizedGroup(t, f, 3, 4)
					time.Sleep(8*time.Second + time.Duration(phase)*75*time.Millisecond)
					old := g.leader(c)
					resume := f.hold(lost)
					time.Sleep(hang)
					resume()
					time.Sleep(4 * time.Second)
					c.Assert(g.terms, quicktest.HasLen, 1, quicktest.Commentf("held for %v, lost %t, phase %d", hang, lost, phase))
					c.Assert(g.leader(c), quicktest.Equals, old)
				})
			}
		}
	}
}

// TestLongPollsThatAreNeverAnsweredEndNoLead leaves the long polls of all entries but the leader without an answer for long. The
// second reads bring the renewals, so the leader must keep its term.
func TestLongPollsThatAreNeverAnsweredEndNoLead(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		f := &faultyStore{swallowed: make(map[string]bool)}
		g := sizedGroup(t, f, 3, 3)
		time.Sleep(8 * time.Second)
		old := g.leader(c)
		f.mu.Lock()
		for _, e := range g.electors {
			f.swallowed[e.Entry] = e != old
		}
		f.mu.Unlock()
		time.Sleep(30 * time.Second)
		c.Assert(g.terms, quicktest.HasLen, 1)
		for _, e := range g.electors {
			c.Check(e.UnansweredFor() < time.Second, quicktest.IsTrue, quicktest.Commentf("%s: the store answers", e.Entry))
		}
	})
}

// TestAnOutageThenACutElectsALargeEntry has the store hang and a cut follow just after it is back, which takes the leader away
// and leaves the open long polls of large entries without an answer. A large entry must take over within the election timeout.
func TestAnOutageThenACutElectsALargeEntry(t *testing.T) {
	for phase := range 8 {
		inBubble(t, func(t *testing.T, c *quicktest.C) {
			f := &faultyStore{swallowed: make(map[string]bool)}
			g := sizedGroup(t, f, 4, 8)
			time.Sleep(8 * time.Second)
			old := g.leader(c)
			resume := f.hold(true)
			time.Sleep(2400*time.Millisecond + time.Duration(phase)*40*time.Millisecond)
			resume()
			time.Sleep(100 * time.Millisecond)
			f.mu.Lock()
			for _, e := range g.electors {
				f.swallowed[e.Entry] = e.Weight == 0.8
			}
			f.mu.Unlock()
			g.topic.setFailing(old.Entry, true)
			took := awaitTerms(c, g, 2)
			c.Check(g.newestHolder().Weight, quicktest.Equals, 0.8, quicktest.Commentf("phase %d: after %v", phase, took))
			c.Check(took < electionTimeout+maxProbeInterval+maxJitter+100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("phase %d: after %v", phase, took))
		})
	}
}

// TestCalmTimesNeedNoSecondReads guards against second reads that load the store while the leader and all routes are healthy.
func TestCalmTimesNeedNoSecondReads(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		var mu sync.Mutex
		probes := 0
		g := newGroupWith(t, 5, func(tp *memoryTopic, entry string) feed.Topic {
			way := delayedTopic(tp, entry, func() time.Duration { return 2 * time.Millisecond })
			way.Probe = func(ctx context.Context, from int64, attempt int) (feed.KeyedPage, error) {
				mu.Lock()
				defer mu.Unlock()
				probes++
				return feed.KeyedPage{Next: from}, fmt.Errorf("probe %d", attempt)
			}
			return way
		})
		time.Sleep(time.Minute)
		g.leader(c)
		mu.Lock()
		defer mu.Unlock()
		c.Assert(probes, quicktest.Equals, 0)
	})
}

// TestASuspendedCandidateTakesNoLead suspends the machines of all candidates in turn, whose clocks jump by more than the election
// timeout. What a candidate has not heard in that time says nothing about the leader, which is alive.
func TestASuspendedCandidateTakesNoLead(t *testing.T) {
	for phase := range 7 {
		inBubble(t, func(t *testing.T, c *quicktest.C) {
			f := new(faultyStore)
			base := time.Now()
			var mu sync.Mutex
			suspended := make([]time.Duration, 6)
			g := newSizedGroup(t, 6, f.view, func(i int, e *Elector) {
				e.Weight = []float64{0.8, 0.8, 0.8, 0.192, 0.192, 0.192}[i]
				e.Clock = &clock.Clock{BootTime: func() time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return time.Since(base) + suspended[i]
				}}
			})
			time.Sleep(8*time.Second + time.Duration(phase)*50*time.Millisecond)
			old := g.leader(c)
			for i, e := range g.electors {
				if e == old {
					continue
				}
				mu.Lock()
				suspended[i] += 4 * time.Second
				mu.Unlock()
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			c.Assert(g.terms, quicktest.HasLen, 1)
			c.Assert(g.leader(c), quicktest.Equals, old)
		})
	}
}

// TestARenewalThatTwoReadsBringCountsOnce guards against a long poll that is answered late with a renewal that a second read has
// brought before: it would date the renewal later and restart the election timeout.
func TestARenewalThatTwoReadsBringCountsOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		value, err := cbor.Marshal(Record{Entry: "a", Term: 1, Fence: 70000})
		c.Assert(err, quicktest.IsNil)
		page := feed.KeyedPage{Records: []feed.KeyedRecord{{Offset: 7, Key: key, Value: value}}, Next: 8}
		e := &Elector{Entry: "b"}
		e.applyPage(page, time.Now())
		heard := e.lastHeard
		time.Sleep(400 * time.Millisecond)
		e.applyPage(page, time.Now())
		c.Assert(e.lastHeard, quicktest.Equals, heard)
		c.Assert(e.renewedAt, quicktest.Equals, heard)
	})
}
