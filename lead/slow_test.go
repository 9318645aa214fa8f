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

// delayed returns the topic as an entry sees it whose calls take a while on their way there and back; a call that is given up
// on its way is carried out all the same, and a batch that was taken gets its first answer again.
func delayed(t *topic, entry string, way func() time.Duration) feed.Topic {
	taken := make(map[feed.Writer]int64)
	late := func(ctx context.Context, exec func()) error {
		if t.failing(entry) {
			<-ctx.Done()
			return feed.ErrUncertain
		}
		done := make(chan struct{})
		there, back := way(), way()
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
			lost := late(ctx, func() {
				t.mu.Lock()
				first, again := taken[b.Writer]
				t.mu.Unlock()
				if end, err = first, nil; again {
					return
				}
				if end, err = t.append(b); err == nil {
					t.mu.Lock()
					taken[b.Writer] = end
					t.mu.Unlock()
				}
			})
			if lost != nil {
				return 0, lost
			}
			return end, err
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			var page feed.KeyedPage
			var err error
			if lost := late(ctx, func() { page, err = t.read(context.Background(), from, wait) }); lost != nil {
				return page, lost
			}
			return page, err
		},
		Newest: func(ctx context.Context) (feed.KeyedPage, error) {
			var page feed.KeyedPage
			if lost := late(ctx, func() { page = t.newest() }); lost != nil {
				return page, lost
			}
			return page, nil
		},
	}
}

// TestASlowStoreEndsNoLead has every call take a second, then as long as it usually does.
func TestASlowStoreEndsNoLead(t *testing.T) {
	for _, slow := range [...]time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		bubble(t, func(t *testing.T, c *quicktest.C) {
			way := 2 * time.Millisecond
			g := newGroupOf(t, 5, func(tp *topic, entry string) feed.Topic {
				return delayed(tp, entry, func() time.Duration { return way })
			})
			time.Sleep(7 * time.Second)
			old := g.leader(c)
			way = slow
			time.Sleep(30 * time.Second)
			c.Assert(g.terms, quicktest.HasLen, 1, quicktest.Commentf("with %v each way", slow))
			way = 2 * time.Millisecond
			time.Sleep(5 * time.Second)
			c.Assert(g.leader(c), quicktest.Equals, old)
			c.Assert(g.terms, quicktest.HasLen, 1)
		})
	}
}

// TestALeaderShortOfProcessorKeepsItsLead has the leader's calls wait for their turn: full speed until its share is spent, then
// nothing for the rest of a tenth of a second, several times a call.
func TestALeaderShortOfProcessorKeepsItsLead(t *testing.T) {
	for seed := range uint64(10) {
		bubble(t, func(t *testing.T, c *quicktest.C) {
			r := rand.New(rand.NewPCG(seed, 3))
			busy := ""
			g := newGroupOf(t, 5, func(tp *topic, entry string) feed.Topic {
				return delayed(tp, entry, func() time.Duration {
					if entry != busy {
						return 2 * time.Millisecond
					}
					wait := 2 * time.Millisecond
					for range 4 { // turns of the processor that a call needs each way
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
			g.topic.setFails(old.Entry, true)
			began := time.Now()
			for len(g.terms) < 2 && time.Since(began) < 10*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			c.Assert(time.Since(began) < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %v", time.Since(began)))
			c.Assert(old.Confirmed(), quicktest.IsFalse)
		})
	}
}

// TestNoLeaderIsConfirmedOnceTheNextHasItsTerm plays calls that take any time, some of which fail. What a new leader takes for
// not read by an earlier one rests on it.
func TestNoLeaderIsConfirmedOnceTheNextHasItsTerm(t *testing.T) {
	taken := 0
	for seed := range uint64(30) {
		bubble(t, func(t *testing.T, c *quicktest.C) {
			r := rand.New(rand.NewPCG(seed, 9))
			way := func() time.Duration {
				if r.IntN(4) == 0 {
					return time.Duration(r.IntN(900)) * time.Millisecond
				}
				return time.Duration(r.IntN(60)) * time.Millisecond
			}
			g := newGroupOf(t, 4, func(tp *topic, entry string) feed.Topic { return delayed(tp, entry, way) })
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
				g.topic.setFails(e.Entry, r.IntN(2) == 0)
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			}
		})
	}
	quicktest.Assert(t, taken > 90, quicktest.IsTrue, quicktest.Commentf("%d terms", taken))
}

// TestALeaderWhoseWayFallsSilentTakesAnother has the leader's direct way hang; a call that has failed there lets the next ones take
// another way, as the adapter does.
func TestALeaderWhoseWayFallsSilentTakesAnother(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		silent := ""
		known := make(map[string]bool)
		g := newGroupOf(t, 5, func(tp *topic, entry string) feed.Topic {
			way := delayed(tp, entry, func() time.Duration { return 2 * time.Millisecond })
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
