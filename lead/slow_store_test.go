// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
)

// delayedTopic returns the topic as seen by an entry whose calls are delayed in each direction. A call that is given up in
// flight is still carried out, and a repeated batch gets the answer to the first one.
func delayedTopic(t *memoryTopic, entry string, delay func() time.Duration) feed.Topic {
	accepted := make(map[feed.Writer]int64)
	call := func(ctx context.Context, exec func()) error {
		if t.failing(entry) {
			<-ctx.Done()
			return feed.ErrUncertain
		}
		done := make(chan struct{})
		there, back := delay(), delay()
		go func() {
			time.Sleep(there)
			exec()
			time.Sleep(back)
			close(done)
		}()
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return feed.ErrUncertain
		}
	}
	return feed.Topic{
		Append: func(ctx context.Context, b feed.Batch) (int64, error) {
			var end int64
			var err error
			unanswered := call(ctx, func() {
				t.mu.Lock()
				first, repeated := accepted[b.Writer]
				t.mu.Unlock()
				if end, err = first, nil; repeated {
					return
				}
				if end, err = t.append(b); err == nil {
					t.mu.Lock()
					accepted[b.Writer] = end
					t.mu.Unlock()
				}
			})
			if unanswered != nil {
				return 0, unanswered
			}
			return end, err
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			var page feed.KeyedPage
			var err error
			if unanswered := call(ctx, func() { page, err = t.read(context.Background(), from, wait) }); unanswered != nil {
				return page, unanswered
			}
			return page, err
		},
		Newest: func(ctx context.Context) (feed.KeyedPage, error) {
			var page feed.KeyedPage
			if unanswered := call(ctx, func() { page = t.newest() }); unanswered != nil {
				return page, unanswered
			}
			return page, nil
		},
	}
}

// TestASlowStoreEndsNoLead slows every call to the store down to up to a second and then back to normal. The leader must keep its
// term throughout.
func TestASlowStoreEndsNoLead(t *testing.T) {
	for _, slow := range [...]time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		inBubble(t, func(t *testing.T, c *quicktest.C) {
			way := 2 * time.Millisecond
			g := newGroupWith(t, 5, func(tp *memoryTopic, entry string) feed.Topic {
				return delayedTopic(tp, entry, func() time.Duration { return way })
			})
			time.Sleep(7 * time.Second)
			old := g.leader(c)
			way = slow
			time.Sleep(30 * time.Second)
			c.Assert(g.terms, quicktest.HasLen, 1, quicktest.Commentf("with a delay of %v each way", slow))
			way = 2 * time.Millisecond
			time.Sleep(5 * time.Second)
			c.Assert(g.leader(c), quicktest.Equals, old)
			c.Assert(g.terms, quicktest.HasLen, 1)
		})
	}
}

// TestALeaderShortOfProcessorKeepsItsLead throttles the leader's processor time in periods of 0.1 s, as a cgroup quota does, so
// that each of its calls is held up several times. It must keep its term, and lose it in time once its calls fail.
func TestALeaderShortOfProcessorKeepsItsLead(t *testing.T) {
	for seed := range uint64(10) {
		inBubble(t, func(t *testing.T, c *quicktest.C) {
			r := rand.New(rand.NewPCG(seed, 3))
			busy := ""
			g := newGroupWith(t, 5, func(tp *memoryTopic, entry string) feed.Topic {
				return delayedTopic(tp, entry, func() time.Duration {
					if entry != busy {
						return 2 * time.Millisecond
					}
					wait := 2 * time.Millisecond
					for range 4 { // scheduling periods that a call needs each way
						wait += time.Duration(r.IntN(100)) * time.Millisecond
					}
					return wait
				})
			})
			time.Sleep(7 * time.Second)
			old := g.leader(c)
			busy = old.Entry
			time.Sleep(30 * time.Second)
			c.Assert(g.terms, quicktest.HasLen, 1, quicktest.Commentf("seed %d", seed))
			c.Assert(g.leader(c), quicktest.Equals, old)
			g.topic.setFailing(old.Entry, true)
			began := time.Now()
			for len(g.terms) < 2 && time.Since(began) < 10*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			c.Assert(time.Since(began) < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %v", time.Since(began)))
			c.Assert(old.Confirmed(), quicktest.IsFalse)
		})
	}
}

// TestNoLeaderIsConfirmedOnceTheNextHasItsTerm runs calls with random delays, some of which fail. No earlier leader may count as
// confirmed when a new term begins: a new leader relies on this to conclude what an earlier one cannot have read.
func TestNoLeaderIsConfirmedOnceTheNextHasItsTerm(t *testing.T) {
	taken := 0
	for seed := range uint64(30) {
		inBubble(t, func(t *testing.T, c *quicktest.C) {
			r := rand.New(rand.NewPCG(seed, 9))
			way := func() time.Duration {
				if r.IntN(4) == 0 {
					return time.Duration(r.IntN(900)) * time.Millisecond
				}
				return time.Duration(r.IntN(60)) * time.Millisecond
			}
			g := newGroupWith(t, 4, func(tp *memoryTopic, entry string) feed.Topic { return delayedTopic(tp, entry, way) })
			for _, e := range g.electors {
				serve := e.Serve
				e.Serve = func(ctx context.Context, term Term) {
					taken++
					for _, o := range g.electors {
						c.Check(o != e && o.Confirmed(), quicktest.IsFalse, quicktest.Commentf("seed %d: %s at term %d of %s", seed, o.Entry, term.Number, e.Entry))
					}
					serve(ctx, term)
				}
			}
			for range 40 {
				e := g.electors[r.IntN(len(g.electors))]
				g.topic.setFailing(e.Entry, r.IntN(2) == 0)
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			}
		})
	}
	quicktest.Assert(t, taken > 90, quicktest.IsTrue, quicktest.Commentf("%d terms", taken))
}

// TestLeaderSwitchesRouteWhenOneHangs has the leader's direct route to the store hang. A call that fails there makes the
// following calls take another route, as the store adapter does, and the leader must keep its term.
func TestLeaderSwitchesRouteWhenOneHangs(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		silent := ""
		known := make(map[string]bool)
		g := newGroupWith(t, 5, func(tp *memoryTopic, entry string) feed.Topic {
			way := delayedTopic(tp, entry, func() time.Duration { return 2 * time.Millisecond })
			plain := way.Append
			way.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				if entry == silent && !known[entry] {
					<-ctx.Done()
					known[entry] = true
					return 0, feed.ErrUncertain
				}
				return plain(ctx, b)
			}
			return way
		})
		time.Sleep(7 * time.Second)
		old := g.leader(c)
		silent = old.Entry
		time.Sleep(10 * time.Second)
		c.Assert(g.leader(c), quicktest.Equals, old)
		c.Assert(g.terms, quicktest.HasLen, 1)
	})
}
