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

// pipe carries answers one after the other, so many bytes a second.
type pipe struct {
	mu        sync.Mutex
	perSecond float64
	until     time.Time
}

// carry waits until an answer of the size has come.
func (p *pipe) carry(bytes float64) {
	p.mu.Lock()
	if now := time.Now(); p.until.Before(now) {
		p.until = now
	}
	p.until = p.until.Add(time.Duration(bytes / p.perSecond * float64(time.Second)))
	until := p.until
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// The story. Entries on links of 2 Mbit/s were all killed, and nothing was served again: the lead went on every 1.5 s, ten times in 15 s, and no leader got beyond
// reading its tables. It read 28 topics at once, 700 KB, which took the link for 2.8 s; the answers to its renewals came behind them, no renewal was sent before the
// one before had its answer, and candidates take the lead after 1.1 s. The evidence: tables-read after 3.06 to 3.67 s, and each term's lead-lost beside it.
func TestALeaderOnAThinLinkReadsItsTablesAndKeepsTheLead(t *testing.T) {
	const topics, each = 28, 25000.0
	for _, x := range [...]struct {
		name string
		link float64
		most time.Duration // a new leader reads no longer
	}{
		{"2 Mbit/s", 250e3, 3500 * time.Millisecond},
		{"20 Mbit/s", 2.5e6, 500 * time.Millisecond},
		{"1,000 Mbit/s", 125e6, 50 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newBench(c, nil)
				b.LinkPerSecond = x.link
				p := &pipe{perSecond: x.link}
				topic := feed.Topic{
					Newest: func(context.Context) (feed.KeyedPage, error) {
						time.Sleep(4 * time.Millisecond)
						p.carry(each)
						return feed.KeyedPage{}, nil
					},
					Append: func(context.Context, feed.Batch) (int64, error) { return 1, nil },
				}
				b.State, b.Workers, b.Intake = topic, topic, nil
				for range topics - 2 {
					b.Intake = append(b.Intake, topic)
				}
				b.fresh, b.intakeEnd = make([]time.Time, topics-2), make([]int64, topics-2)
				done := make(chan struct{})
				at := time.Now()
				go func() {
					c.Check(b.tryLoad(context.Background()), quicktest.IsNil)
					close(done)
				}()
				longest := time.Duration(0)
				for reading := true; reading; {
					asked := time.Now()
					p.carry(200) // a renewal's answer
					longest = max(longest, time.Since(asked))
					select {
					case <-done:
						reading = false
					case <-time.After(20 * time.Millisecond):
					}
				}
				c.Check(longest < lead.RenewTimeout, quicktest.IsTrue, quicktest.Commentf("a renewal's answer waited for %v", longest))
				c.Check(time.Since(at) < x.most, quicktest.IsTrue, quicktest.Commentf("read after %v", time.Since(at)))
			})
		})
	}
}

// TestStartsUnderWayAreBoundedByTheLink has a leader on a thin link start a step of many tasks: some leave, the others follow as answers come, and none is passed over.
func TestStartsUnderWayAreBoundedByTheLink(t *testing.T) {
	for _, x := range [...]struct {
		name string
		link float64
		most int
	}{
		{"2 Mbit/s", 250e3, 46},
		{"a link of which nothing is known", 0, 200},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: 200, Need: job.Need{MilliCPU: 10}}}}, time.Now())
				b := newBench(c, []*job.Job{j}, "w1")
				b.LinkPerSecond = x.link
				b.reports("w1", 10, nil)
				var mu sync.Mutex
				under, most, all := 0, 0, 0
				b.Calls.Start = func(ctx context.Context, _ *work.Worker, _ work.Start) (work.Answer, error) {
					mu.Lock()
					under, all = under+1, all+1
					most = max(most, under)
					mu.Unlock()
					sleep(ctx, 20*time.Millisecond)
					mu.Lock()
					under--
					mu.Unlock()
					return work.Answer{Clock: 20}, nil
				}
				c.Assert(b.ordered(), quicktest.Equals, 200)
				b.keeps()
				for range 20 {
					time.Sleep(20 * time.Millisecond)
					synctest.Wait()
					for _, m := range b.inbox.take() {
						m.apply(b.session)
					}
				}
				synctest.Wait()
				c.Check(all, quicktest.Equals, 200)
				c.Check(most, quicktest.Equals, x.most)
				c.Check(b.startsUnderWay, quicktest.Equals, 0)
			})
		})
	}
}
