// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// targets returns n targets.
func targets(n int) []Target {
	var ts []Target
	for i := range n {
		ts = append(ts, Target{Instance: fmt.Sprint("r", i)})
	}
	return ts
}

// onGate runs the test on fake time with a gate of n targets.
func onGate(t *testing.T, n int, limits Limits, f func(c *quicktest.C, g *Gate)) {
	synctest.Test(t, func(t *testing.T) {
		g := new(Gate)
		g.Set(limits, targets(n))
		f(quicktest.New(t), g)
	})
}

// hold takes a slot for the time and says with what result the request ends.
func hold(g *Gate, r Request, d time.Duration, res func(Target) Result) error {
	l, err := g.Acquire(context.Background(), r)
	if err != nil {
		return err
	}
	time.Sleep(d)
	l.Done(res(l.Target))
	return nil
}

func ok(Target) Result { return ResultOK }

func kindOf(err error) Kind {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Kind
	}
	return ""
}

func TestUrgentOvertakesOrdinary(t *testing.T) {
	onGate(t, 1, Limits{Slots: 1, Queue: 10}, func(c *quicktest.C, g *Gate) {
		var mu sync.Mutex
		var order []string
		var work sync.WaitGroup
		send := func(name string, urgent bool) {
			work.Go(func() {
				l, err := g.Acquire(context.Background(), Request{Team: "t", Urgent: urgent})
				c.Check(err, quicktest.IsNil)
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Second)
				l.Done(ResultOK)
			})
			synctest.Wait()
		}
		send("first", false)
		send("ordinary", false)
		send("urgent", true)
		work.Wait()
		c.Assert(order, quicktest.DeepEquals, []string{"first", "urgent", "ordinary"})
	})
}

func TestABurstOfOneTeamTakesNothingFromAnother(t *testing.T) {
	onGate(t, 1, Limits{Slots: 2, Queue: 20}, func(c *quicktest.C, g *Gate) {
		var work sync.WaitGroup
		var mu sync.Mutex
		burst := make(map[Kind]int)
		for range 200 {
			work.Go(func() {
				err := hold(g, Request{Team: "burst"}, 100*time.Millisecond, ok)
				mu.Lock()
				defer mu.Unlock()
				burst[kindOf(err)]++
			})
		}
		synctest.Wait()
		begin := time.Now()
		for range 5 {
			c.Check(hold(g, Request{Team: "calm"}, 100*time.Millisecond, ok), quicktest.IsNil)
		}
		took := time.Since(begin)
		work.Wait()
		// One at a time beside the burst: each waits for at most one slot of two.
		c.Assert(took <= 5*200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(burst[KindFull] >= 178, quicktest.IsTrue, quicktest.Commentf("%v", burst))
	})
}

func TestSharesDecideAmongWaitingTeams(t *testing.T) {
	onGate(t, 1, Limits{Slots: 1, Queue: 1000}, func(c *quicktest.C, g *Gate) {
		done := make(map[string]int)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var mu sync.Mutex
		var work sync.WaitGroup
		for _, team := range [...]struct {
			name  string
			share int
		}{{"one", 1}, {"three", 3}} {
			for range 300 {
				work.Go(func() {
					l, err := g.Acquire(ctx, Request{Team: team.name, Share: team.share})
					if err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
					l.Done(ResultOK)
					mu.Lock()
					done[team.name]++
					mu.Unlock()
				})
			}
		}
		work.Wait()
		c.Assert(done["three"] >= 2*done["one"], quicktest.IsTrue, quicktest.Commentf("%v", done))
		c.Assert(done["one"] >= 60, quicktest.IsTrue, quicktest.Commentf("%v", done))
	})
}

func TestWhoCannotBeServedInTimeIsRefusedOnArrival(t *testing.T) {
	onGate(t, 1, Limits{Slots: 1, Queue: 100}, func(c *quicktest.C, g *Gate) {
		c.Assert(hold(g, Request{Team: "t"}, time.Second, ok), quicktest.IsNil) // it learns the service time
		var work sync.WaitGroup
		for range 5 {
			work.Go(func() { _ = hold(g, Request{Team: "t"}, time.Second, ok) })
		}
		synctest.Wait()
		begin := time.Now()
		_, err := g.Acquire(context.Background(), Request{Team: "t", Deadline: begin.Add(2 * time.Second)})
		c.Assert(kindOf(err), quicktest.Equals, KindDeadline)
		c.Assert(time.Since(begin), quicktest.Equals, time.Duration(0))
		work.Wait()
	})
}

func TestACancelledBurstFreesItsPlacesAtOnce(t *testing.T) {
	onGate(t, 1, Limits{Slots: 1, Queue: 50}, func(c *quicktest.C, g *Gate) {
		first, err := g.Acquire(context.Background(), Request{Team: "t"})
		c.Assert(err, quicktest.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		var work sync.WaitGroup
		for range 50 {
			work.Go(func() {
				_, err := g.Acquire(ctx, Request{Team: "t"})
				c.Check(kindOf(err), quicktest.Equals, KindCancelled)
			})
		}
		synctest.Wait()
		_, waiting, _ := g.Load()
		c.Assert(waiting, quicktest.Equals, 50)
		cancel()
		work.Wait()
		_, waiting, _ = g.Load()
		c.Assert(waiting, quicktest.Equals, 0)
		first.Done(ResultOK)
		l, err := g.Acquire(context.Background(), Request{Team: "t"})
		c.Assert(err, quicktest.IsNil)
		l.Done(ResultOK)
	})
}

// load sends requests at a steady rate and counts where they went and how many failed.
func load(g *Gate, d, gap, work time.Duration, res func(Target) Result) (sent map[string]int, failed int) {
	sent = make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range int(d / gap) {
		time.Sleep(gap)
		all.Go(func() {
			l, err := g.Acquire(context.Background(), Request{Team: "t", Deadline: time.Now().Add(time.Second)})
			if err != nil {
				return
			}
			r := res(l.Target)
			if r == ResultOK {
				time.Sleep(work)
			}
			l.Done(r)
			mu.Lock()
			defer mu.Unlock()
			sent[l.Target.Instance]++
			if r != ResultOK {
				failed++
			}
		})
	}
	all.Wait()
	return sent, failed
}

func TestATargetThatFailsEverythingFastAttractsNothing(t *testing.T) {
	onGate(t, 10, Limits{Slots: 8, Queue: 256}, func(c *quicktest.C, g *Gate) {
		bad := func(t Target) Result {
			if t.Instance == "r0" {
				return ResultFailed
			}
			return ResultOK
		}
		load(g, 2*time.Second, time.Millisecond, 20*time.Millisecond, bad)
		sent, failed := load(g, 10*time.Second, time.Millisecond, 20*time.Millisecond, bad)
		total := 0
		for _, n := range sent {
			total += n
		}
		c.Assert(failed*100 < total, quicktest.IsTrue, quicktest.Commentf("%d of %d", failed, total))
	})
}

func TestWhenALargePartFailsTogetherTheRestServesAndAllRecover(t *testing.T) {
	onGate(t, 10, Limits{Slots: 8, Queue: 256}, func(c *quicktest.C, g *Gate) {
		var mu sync.Mutex
		broken := true
		bad := func(t Target) Result {
			mu.Lock()
			defer mu.Unlock()
			if broken && t.Instance < "r4" {
				return ResultFailed
			}
			return ResultOK
		}
		sent, failed := load(g, 5*time.Second, 2*time.Millisecond, 20*time.Millisecond, bad)
		for _, id := range [...]string{"r4", "r5", "r6", "r7", "r8", "r9"} {
			c.Assert(sent[id] > 300, quicktest.IsTrue, quicktest.Commentf("%v", sent))
		}
		c.Assert(failed < 100, quicktest.IsTrue, quicktest.Commentf("%d", failed))
		mu.Lock()
		broken = false
		mu.Unlock()
		load(g, 15*time.Second, 2*time.Millisecond, 20*time.Millisecond, bad)
		sent, _ = load(g, 5*time.Second, 2*time.Millisecond, 20*time.Millisecond, bad)
		for id, n := range sent {
			c.Assert(n > 150, quicktest.IsTrue, quicktest.Commentf("%s got %d", id, n))
		}
	})
}

func TestWhenEverythingFailsNoTargetIsPaused(t *testing.T) {
	onGate(t, 3, Limits{Slots: 8, Queue: 256}, func(c *quicktest.C, g *Gate) {
		sent, _ := load(g, 2*time.Second, 10*time.Millisecond, 0, func(Target) Result { return ResultFailed })
		c.Assert(sent["r0"]+sent["r1"]+sent["r2"], quicktest.Equals, 200)
	})
}

func TestAMovedGateSendsItsQueueElsewhere(t *testing.T) {
	onGate(t, 1, Limits{Slots: 1, Queue: 10}, func(c *quicktest.C, g *Gate) {
		l, err := g.Acquire(context.Background(), Request{Team: "t"})
		c.Assert(err, quicktest.IsNil)
		moved := make(chan error)
		go func() {
			_, err := g.Acquire(context.Background(), Request{Team: "t"})
			moved <- err
		}()
		synctest.Wait()
		g.Set(Limits{Moved: true}, nil)
		c.Assert(kindOf(<-moved), quicktest.Equals, KindMoved)
		c.Assert(g.Held(), quicktest.DeepEquals, map[string]int{"r0": 1})
		l.Done(ResultOK)
		c.Assert(g.Held(), quicktest.HasLen, 0)
	})
}

// TestUrgentFindsNoRoomAmongUrgent fills the queue with urgent requests while a team that waited before is still charged.
func TestUrgentFindsNoRoomAmongUrgent(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(0, 0)
	g := &Gate{Clock: func() time.Time { return now }, After: func(time.Duration, func()) {}}
	g.Set(Limits{Slots: 1, Queue: 1}, targets(1))
	_, first, _ := g.enter(Request{Team: "b"})
	waits, _, _ := g.enter(Request{Team: "b"})
	first.Done(ResultOK)
	c.Assert(waits.granted, quicktest.HasLen, 1)
	urgent, _, _ := g.enter(Request{Team: "a", Urgent: true})
	c.Assert(urgent, quicktest.IsNotNil)
	_, _, refused := g.enter(Request{Team: "a", Urgent: true})
	c.Assert(refused, quicktest.IsNotNil)
	c.Assert(refused.Kind, quicktest.Equals, KindFull)
}

// TestSlotsAreNeverExceeded changes targets, shares and health at random and counts what runs on each target.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, exceedSlots)
}

func exceedSlots(t *rapid.T) {
	now := time.Unix(0, 0)
	g := &Gate{Clock: func() time.Time { return now }, After: func(time.Duration, func()) {}}
	limits := Limits{Slots: 3, Queue: 5}
	g.Set(limits, targets(3))
	var leases []*Lease
	var waiting []*waiter
	busy := make(map[string]int)
	take := func(l *Lease) {
		leases = append(leases, l)
		busy[l.Target.Instance]++
		if n := busy[l.Target.Instance]; n > 3 {
			t.Fatalf("%d requests on %s", n, l.Target.Instance)
		}
	}
	collect := func() {
		kept := waiting[:0]
		for _, w := range waiting {
			select {
			case l := <-w.granted:
				take(l)
			case <-w.refused:
			default:
				kept = append(kept, w)
			}
		}
		waiting = kept
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			r := Request{Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Urgent: rapid.Bool().Draw(t, "urgent")}
			w, l, _ := g.enter(r)
			if l != nil {
				take(l)
			}
			if w != nil {
				waiting = append(waiting, w)
			}
			collect()
		},
		"end": func(t *rapid.T) {
			if len(leases) == 0 {
				return
			}
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
			l := leases[i]
			leases = append(leases[:i], leases[i+1:]...)
			busy[l.Target.Instance]--
			l.Done(rapid.SampledFrom([]Result{ResultOK, ResultFailed, ResultRefused, ResultNeutral}).Draw(t, "result"))
			collect()
		},
		"set": func(t *rapid.T) {
			g.Set(limits, targets(rapid.IntRange(0, 4).Draw(t, "targets")))
			collect()
		},
		"pass": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			if _, n, _ := g.Load(); n != len(waiting) {
				t.Fatalf("the gate counts %d waiting, there are %d", n, len(waiting))
			}
		},
	})
}

func TestAnOwnerThatLeavesChangesOnlyItsOwnKeys(t *testing.T) {
	c := quicktest.New(t)
	members := []string{"a", "b", "c", "d"}
	counts := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprint("service", i)
		owner := Owner(key, members)
		counts[owner]++
		if owner != "b" {
			c.Assert(Owner(key, []string{"a", "c", "d"}), quicktest.Equals, owner)
		}
	}
	for _, m := range members {
		c.Assert(counts[m] > 60, quicktest.IsTrue, quicktest.Commentf("%v", counts))
	}
	c.Assert(Owner("x", nil), quicktest.Equals, "")
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	c := quicktest.New(t)
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	c.Assert(retries <= 110, quicktest.IsTrue)
	c.Assert(retries >= 90, quicktest.IsTrue)
}
