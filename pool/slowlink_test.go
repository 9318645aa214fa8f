// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/work"
)

// sharedLink transfers answers one after the other, at a fixed rate.
type sharedLink struct {
	mu        sync.Mutex
	perSecond float64
	busyUntil time.Time
}

// transfer waits until an answer of the given size has arrived.
func (p *sharedLink) transfer(bytes float64) {
	p.mu.Lock()
	if now := time.Now(); p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(time.Duration(bytes / p.perSecond * float64(time.Second)))
	until := p.busyUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// TestALeaderOnASlowLinkLoadsItsTablesAndKeepsTheLead guards against a leader on a slow link that loses the lead while it
// loads its tables. On links of 2 Mbit/s, after all entries were killed, the lead changed ten times in 15 s and no leader got
// further: reading 28 topics (700 KB) at once took 2.8 s of the link (tables-read after 3.06 to 3.67 s) and the answers to
// renewals queued behind that. The next renewal waits for the answer to the last, and candidates take the lead after 1.1 s.
func TestALeaderOnASlowLinkLoadsItsTablesAndKeepsTheLead(t *testing.T) {
	const topics, topicBytes = 28, 25000.0
	for _, x := range [...]struct {
		name string
		link float64
		most time.Duration // bound on the time that loading takes
	}{
		{"2 Mbit/s", 250e3, 3500 * time.Millisecond},
		{"20 Mbit/s", 2.5e6, 500 * time.Millisecond},
		{"1,000 Mbit/s", 125e6, 50 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newFixture(c, nil)
				b.LinkPerSecond = x.link
				link := &sharedLink{perSecond: x.link}
				topic := feed.Topic{
					Newest: func(context.Context) (feed.KeyedPage, error) {
						time.Sleep(4 * time.Millisecond)
						link.transfer(topicBytes)
						return feed.KeyedPage{}, nil
					},
					Append: func(context.Context, feed.Batch) (int64, error) { return 1, nil },
				}
				b.State, b.Workers, b.Intake = topic, topic, nil
				for range topics - 2 {
					b.Intake = append(b.Intake, topic)
				}
				b.intakeReadUntil, b.intakeOffsets = make([]time.Time, topics-2), make([]int64, topics-2)
				done := make(chan struct{})
				began := time.Now()
				go func() {
					c.Check(b.tryLoad(context.Background()), quicktest.IsNil)
					close(done)
				}()
				longest := time.Duration(0)
				for reading := true; reading; {
					sent := time.Now()
					link.transfer(200) // the answer to a renewal
					longest = max(longest, time.Since(sent))
					select {
					case <-done:
						reading = false
					case <-time.After(20 * time.Millisecond):
					}
				}
				c.Check(longest < lead.RenewTimeout, quicktest.IsTrue, quicktest.Commentf("the answer to a renewal took %v", longest))
				c.Check(time.Since(began) < x.most, quicktest.IsTrue, quicktest.Commentf("loaded the tables after %v", time.Since(began)))
			})
		})
	}
}

// TestStartsUnderWayAreBoundedByTheLink guards against a leader that sends more starts than a slow link carries. The starts
// of a step of many tasks are sent as earlier ones are answered, and none is left out.
func TestStartsUnderWayAreBoundedByTheLink(t *testing.T) {
	for _, x := range [...]struct {
		name string
		link float64
		peak int // the most starts under way at a time
	}{
		{"2 Mbit/s", 250e3, 46},
		{"a link of which nothing is known", 0, 200},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 200, Need: job.Need{MilliCPU: 10}}}}, time.Now())
				b := newFixture(c, []*job.Job{j}, "w1")
				b.LinkPerSecond = x.link
				b.report("w1", 10, nil)
				var mu sync.Mutex
				underWay, peak, total := 0, 0, 0
				b.Calls.Start = func(ctx context.Context, _ *work.Worker, _ work.Start) (work.Answer, error) {
					mu.Lock()
					underWay, total = underWay+1, total+1
					peak = max(peak, underWay)
					mu.Unlock()
					sleep(ctx, 20*time.Millisecond)
					mu.Lock()
					underWay--
					mu.Unlock()
					return work.Answer{Clock: 20}, nil
				}
				c.Assert(b.placeAndCount(), quicktest.Equals, 200)
				b.commitAll()
				for range 20 {
					time.Sleep(20 * time.Millisecond)
					synctest.Wait()
					for _, m := range b.inbox.takeAll() {
						m.apply(b.session)
					}
				}
				synctest.Wait()
				c.Check(total, quicktest.Equals, 200)
				c.Check(peak, quicktest.Equals, x.peak)
				c.Check(b.startSlots.inUse(time.Now()), quicktest.Equals, 0)
			})
		})
	}
}

// TestStartsDoNotKeepALinkSaturated fills a link of 10 Mbit/s for a while, so that starts get their answers late. When the link is free
// again, the leader must not keep it saturated with repeated starts: all tasks must be accepted soon. With starts that stopped
// counting at their first timeout, the leader sent up to 1,950 a second, which is more than the link carries.
func TestStartsDoNotKeepALinkSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 3000, Need: job.Need{MilliCPU: 1}}}}, time.Now())
		b := newFixture(c, []*job.Job{j}, "w1")
		b.LinkPerSecond = 1.25e6
		b.report("w1", 10, nil)
		link := &sharedLink{perSecond: b.LinkPerSecond}
		var mu sync.Mutex
		accepted, attempts := make(map[string]bool), 0
		b.Calls.Start = func(ctx context.Context, _ *work.Worker, o work.Start) (work.Answer, error) {
			arrived := make(chan struct{})
			go func() {
				link.transfer(startBytes)
				close(arrived)
			}()
			mu.Lock()
			attempts++
			mu.Unlock()
			select {
			case <-arrived:
				mu.Lock()
				accepted[o.Task] = true
				mu.Unlock()
				return work.Answer{Clock: 20}, nil
			case <-ctx.Done():
				return work.Answer{}, work.ErrNoAnswer
			}
		}
		link.transfer(0)
		go link.transfer(0.4 * b.LinkPerSecond) // other traffic fills the link for 0.4 s
		synctest.Wait()
		c.Assert(b.placeAndCount(), quicktest.Equals, 3000)
		b.commitAll()
		began, last := time.Now(), time.Now()
		var done time.Duration
		for time.Since(began) < 20*time.Second && done == 0 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			for _, m := range b.inbox.takeAll() {
				m.apply(b.session)
			}
			if time.Since(last) >= tickInterval {
				last = time.Now()
				b.sendStored(last)
				b.sendResends(last)
				b.commitAll()
			}
			mu.Lock()
			if len(accepted) == 3000 {
				done = time.Since(began)
			}
			mu.Unlock()
		}
		c.Check(done > 0 && done < 6*time.Second, quicktest.IsTrue, quicktest.Commentf("after %v", done))
		c.Check(attempts < 5000, quicktest.IsTrue, quicktest.Commentf("%d attempts", attempts))
	})
}
