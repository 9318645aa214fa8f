// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// topic is a keyed topic in memory, whose calls can be made to fail.
type topic struct {
	mu      sync.Mutex
	records []feed.KeyedRecord
	epoch   int64
	grown   chan struct{}
	// fails says whether the entry's calls fail now.
	fails map[string]bool
}

func newTopic() *topic { return &topic{grown: make(chan struct{}), fails: make(map[string]bool)} }

func (t *topic) failing(entry string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fails[entry]
}

func (t *topic) setFails(entry string, fails bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fails[entry] = fails
}

// of returns the topic as one entry sees it; a failing call hangs until its context ends.
func (t *topic) of(entry string) feed.Topic {
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return feed.ErrUncertain
	}
	return feed.Topic{
		Append: func(ctx context.Context, b feed.Batch) (int64, error) {
			if t.failing(entry) {
				return 0, hang(ctx)
			}
			return t.append(b)
		},
		Newest: func(ctx context.Context) (feed.KeyedPage, error) {
			if t.failing(entry) {
				return feed.KeyedPage{}, hang(ctx)
			}
			return t.newest(), nil
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			if t.failing(entry) {
				return feed.KeyedPage{}, hang(ctx)
			}
			return t.read(ctx, from, wait)
		},
	}
}

func (t *topic) append(b feed.Batch) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case b.Epoch < t.epoch:
		return 0, &feed.FencedError{}
	case b.ExpectedEnd >= 0 && b.ExpectedEnd != int64(len(t.records)):
		return 0, &feed.ConditionError{End: int64(len(t.records))}
	}
	t.epoch = b.Epoch
	t.records = append(t.records, b.Records...)
	close(t.grown)
	t.grown = make(chan struct{})
	return int64(len(t.records)), nil
}

func (t *topic) newest() feed.KeyedPage {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.records)
	return feed.KeyedPage{Records: t.records[max(n-1, 0):], Next: int64(n)}
}

func (t *topic) read(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		page := feed.KeyedPage{Records: t.records[from:], Next: int64(len(t.records))}
		grown := t.grown
		t.mu.Unlock()
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// group is some electors on one topic, and who leads.
type group struct {
	topic    *topic
	electors []*Elector
	mu       sync.Mutex
	leading  map[string]Term
	terms    []Term
}

func newGroup(t *testing.T, n int) *group {
	return newGroupOf(t, n, (*topic).of)
}

// newGroupOf returns a running group whose entries see the topic each in its way.
func newGroupOf(t *testing.T, n int, of func(t *topic, entry string) feed.Topic) *group {
	g := &group{topic: newTopic(), leading: make(map[string]Term)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for i := range n {
		name := fmt.Sprint("e", i)
		e := &Elector{Entry: name, Address: name, Boot: "1", Topic: of(g.topic, name), Weight: 1, Events: &event.Ring{}}
		e.Serve = func(ctx context.Context, term Term) {
			g.mu.Lock()
			g.leading[name] = term
			g.terms = append(g.terms, term)
			g.mu.Unlock()
			<-ctx.Done()
			g.mu.Lock()
			delete(g.leading, name)
			g.mu.Unlock()
		}
		g.electors = append(g.electors, e)
	}
	for _, e := range g.electors {
		done.Go(func() { _ = e.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); done.Wait(); time.Sleep(5 * time.Second) }) // calls on their way end
	return g
}

// leader returns the only one that leads.
func (g *group) leader(c *quicktest.C) *Elector {
	c.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Assert(g.leading, quicktest.HasLen, 1)
	for _, e := range g.electors {
		if _, ok := g.leading[e.Entry]; ok {
			return e
		}
	}
	return nil
}

func bubble(t *testing.T, f func(t *testing.T, c *quicktest.C)) {
	synctest.Test(t, func(t *testing.T) { f(t, quicktest.New(t)) })
}

func TestOneLeadsAndGoesOn(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 5)
		time.Sleep(time.Second)
		first := g.leader(c)
		time.Sleep(time.Minute)
		c.Assert(g.leader(c), quicktest.Equals, first)
		c.Assert(first.Confirmed(), quicktest.IsTrue)
		c.Assert(g.terms, quicktest.HasLen, 1)
		c.Assert(g.terms[0].CleanHandover, quicktest.IsTrue)
	})
}

func TestALeaderThatResignsIsFollowedAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		time.Sleep(time.Second)
		g.leader(c).Resign()
		time.Sleep(400 * time.Millisecond)
		g.leader(c)
		c.Assert(g.terms, quicktest.HasLen, 2)
		c.Assert(g.terms[1].CleanHandover, quicktest.IsTrue)
		c.Assert(g.terms[1].Fence > g.terms[0].Fence, quicktest.IsTrue)
	})
}

func TestALeaderThatHandsOverIsFollowedAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		time.Sleep(time.Second)
		old := g.leader(c)
		old.HandOver(1) // another term's
		c.Assert(g.leader(c), quicktest.Equals, old)
		old.HandOver(g.terms[0].Fence)
		time.Sleep(400 * time.Millisecond)
		c.Assert(g.leader(c) == old, quicktest.IsFalse)
		c.Assert(g.terms, quicktest.HasLen, 2)
		c.Assert(g.terms[1].CleanHandover, quicktest.IsTrue)
		next := g.leader(c)
		next.HandOver(g.terms[1].Fence)
		time.Sleep(400 * time.Millisecond)
		c.Assert(g.leader(c) == next, quicktest.IsFalse)
	})
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 1)
		time.Sleep(time.Second)
		g.leader(c).HandOver(g.terms[0].Fence)
		time.Sleep(handOverPause + renewEvery)
		c.Assert(g.leader(c), quicktest.Equals, g.electors[0], quicktest.Commentf("there is no other"))
	})
}

// TestALeaderWithoutTheStoreIsFollowed also checks that two never count as confirmed at a time.
func TestALeaderWithoutTheStoreIsFollowed(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		time.Sleep(time.Second)
		old := g.leader(c)
		g.topic.setFails(old.Entry, true)
		began := time.Now()
		for len(g.terms) < 2 {
			time.Sleep(5 * time.Millisecond)
		}
		c.Assert(old.Confirmed(), quicktest.IsFalse, quicktest.Commentf("both are confirmed"))
		c.Assert(time.Since(began) < missedAfter+spread+renewEvery, quicktest.IsTrue, quicktest.Commentf("after %v", time.Since(began)))
		c.Assert(g.terms[1].CleanHandover, quicktest.IsFalse)
		g.topic.setFails(old.Entry, false)
		time.Sleep(2 * time.Second)
		c.Assert(g.leader(c) == old, quicktest.IsFalse)
	})
}

func TestSilenceLastsWhileTheStoreDoesNotAnswer(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 2)
		time.Sleep(3 * time.Second)
		e := g.electors[0]
		c.Assert(e.UnansweredFor(), quicktest.Equals, time.Duration(0))
		g.topic.setFails(e.Entry, true)
		time.Sleep(4 * time.Second)
		c.Assert(e.UnansweredFor() > 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", e.UnansweredFor()))
		g.topic.setFails(e.Entry, false)
		time.Sleep(3 * time.Second) // the call on its way hangs to its end
		c.Assert(e.UnansweredFor(), quicktest.Equals, time.Duration(0))
	})
}

func TestNobodyIsElectedWithoutTheStore(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		time.Sleep(time.Second)
		old := g.leader(c)
		for _, e := range g.electors {
			g.topic.setFails(e.Entry, true)
		}
		time.Sleep(20 * time.Second)
		c.Assert(g.leader(c), quicktest.Equals, old)
		for _, e := range g.electors {
			g.topic.setFails(e.Entry, false)
		}
		time.Sleep(3 * time.Second)
		c.Assert(g.leader(c), quicktest.Equals, old, quicktest.Commentf("the leader has renewed before anybody missed it"))
	})
}

func TestTheNextLeaderKnowsOfALooseOne(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 2)
		time.Sleep(6 * time.Second)
		old := g.leader(c)
		old.SetUnstored(true)
		time.Sleep(50 * time.Millisecond)
		c.Assert(old.UnstoredPublished(), quicktest.IsTrue)
		g.topic.setFails(old.Entry, true)
		time.Sleep(3 * time.Second)
		c.Assert(g.terms[1].PredecessorsUnstored, quicktest.IsTrue)
	})
}

func TestWithoutAnOutageNothingIsCoarse(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		time.Sleep(10 * time.Second)
		g.topic.setFails(g.leader(c).Entry, true)
		time.Sleep(3 * time.Second)
		c.Assert(g.terms, quicktest.HasLen, 2)
		c.Assert(g.terms[1].PredecessorsUnstored, quicktest.IsFalse)
	})
}

func TestARestartedLeaderTakesItsLeadBackAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, c *quicktest.C) {
		tp := newTopic()
		terms := make(chan Term, 2)
		run := func(boot string) (*Elector, func()) {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			serve := func(ctx context.Context, t Term) {
				terms <- t
				<-ctx.Done()
			}
			e := &Elector{Entry: "e", Boot: boot, Weight: 1, Topic: tp.of("e"), Events: &event.Ring{}, Serve: serve}
			go func() { defer close(done); _ = e.Run(ctx) }()
			return e, func() { cancel(); <-done }
		}
		_, stop := run("1")
		time.Sleep(time.Second)
		stop()
		e, stop := run("2")
		time.Sleep(100 * time.Millisecond)
		c.Assert(e.Confirmed(), quicktest.IsTrue)
		c.Assert((<-terms).CleanHandover, quicktest.IsTrue) // nobody led before
		again := <-terms
		c.Assert(again.CleanHandover, quicktest.IsFalse)
		c.Assert(again.Exclusive, quicktest.IsTrue)
		stop()
		time.Sleep(time.Second)
	})
}
