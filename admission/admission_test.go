// SPDX-License-Identifier: MIT

package admission

import (
	"encoding/hex"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/golden"
	"rackstep.dev/job"
)

// known is the knowledge about a queue whose tasks run for a second and whose mean job needs eight core-seconds.
func known(logError float64, waits ...time.Duration) *Queue {
	q := NewQueue("q", RunTimes{LogError: logError}, 8, waits)
	q.SetGrowth(nil, 0)
	return &q
}

// everyLevel returns the same wait for each level.
func everyLevel(wait time.Duration) []time.Duration {
	out := make([]time.Duration, len(Levels()))
	for i := range out {
		out[i] = wait
	}
	return out
}

func oneStep(count int) *job.Spec {
	return &job.Spec{Queue: "q", Steps: []job.Step{{Count: count, Need: job.Need{MilliCPU: 1000}}}}
}

// TestOnlyWhatCertainlyEndsLateIsRefused guards against refusals of jobs that could be in time: within the error of the wait, of the run
// times, or because the knowledge is old, and of jobs that load must not refuse. The target time of a job of one second is 2.6 s.
func TestOnlyWhatCertainlyEndsLateIsRefused(t *testing.T) {
	settings := job.Queue{Stretch: 1.6, Target: time.Second}
	chain := oneStep(8)
	chain.Steps = append(chain.Steps, job.Step{Count: 8, Need: job.Need{MilliCPU: 1000}, After: []int{0}})
	lasting, timed := oneStep(8), oneStep(8)
	lasting.Steps[0].Lasting, timed.Times = true, 1
	ofHot := oneStep(8)
	ofHot.Organisation = "hot"
	hot := known(0, everyLevel(0)...)
	hot.Organisations = []Organisation{{Name: "hot", Waits: Millis(everyLevel(4 * time.Second))}}
	growing := known(0, everyLevel(2*time.Second)...)
	growing.SetGrowth(Millis(everyLevel(time.Second)), 500*time.Millisecond)
	c := quicktest.New(t)
	c.Check(known(0, everyLevel(time.Minute)...).Decide(oneStep(8), job.Queue{}, 0).Refused, quicktest.IsFalse) // no target time
	for _, x := range [...]struct {
		name    string
		q       *Queue
		s       *job.Spec
		age     time.Duration
		refused bool
	}{
		{"no knowledge", nil, oneStep(8), 0, false},
		{"a wait within the slack", known(0, everyLevel(1500*time.Millisecond)...), oneStep(8), 0, false},
		{"a wait beyond it by less than the error", known(0, everyLevel(2*time.Second)...), oneStep(8), 0, false},
		{"a wait beyond it", known(0, everyLevel(2500*time.Millisecond)...), oneStep(8), 0, true},
		{"a path that may be longer, with a later target", known(0.7, everyLevel(2500*time.Millisecond)...), oneStep(8), 0, false},
		{"a longer chain, with a later target", known(0, everyLevel(2500*time.Millisecond)...), chain, 0, false},
		{"time that has passed", known(0, everyLevel(2500*time.Millisecond)...), oneStep(8), 600 * time.Millisecond, false},
		{"a wait that grows", growing, oneStep(8), 600 * time.Millisecond, true},
		{"a small job, which goes first", known(0, everyLevel(time.Minute)...), oneStep(1), 0, false},
		{"a large one behind it", known(0, 0, 0, 0, 0, 0, 0, 4*time.Second), oneStep(8), 0, false},
		{"a lasting job", known(0, everyLevel(time.Minute)...), lasting, 0, false},
		{"a timed job", known(0, everyLevel(time.Minute)...), timed, 0, false},
		{"an organisation beyond its share", hot, ofHot, 0, true},
		{"the others", hot, oneStep(8), 0, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			d := x.q.Decide(x.s, settings, x.age)
			quicktest.Assert(t, d.Refused, quicktest.Equals, x.refused, quicktest.Commentf("%+v", d))
		})
	}
}

// TestRetryAfterIsSpread guards against clients that all return at the same moment, or at once.
func TestRetryAfterIsSpread(t *testing.T) {
	c := quicktest.New(t)
	c.Check(Decision{Wait: 10 * time.Millisecond}.RetryAfter(0), quicktest.Equals, time.Second)
	c.Check(Decision{Wait: 4 * time.Second}.RetryAfter(0), quicktest.Equals, 4*time.Second)
	c.Check(Decision{Wait: 4 * time.Second}.RetryAfter(1), quicktest.Equals, 6*time.Second)
}

// TestAWaitCountsOnlyWhatGoesBefore guards against waits that are too long: because of work that goes after a fresh job, or because of
// instances that the pool may still get and that are not counted.
func TestAWaitCountsOnlyWhatGoesBefore(t *testing.T) {
	c := quicktest.New(t)
	b := Backlog{Before: 2, Room: Room{Now: 2, Later: 6, Delay: 2 * time.Second}, Waiting: []Work{
		{Rank: 1, Seconds: 4, Until: 10 * time.Second},
		{Rank: 3, Seconds: 2, Until: 10 * time.Second},
		{Rank: 3, Seconds: 50, Until: 500 * time.Millisecond},
	}}
	b.Sort()
	c.Check(b.Wait(4), quicktest.Equals, time.Second)
	c.Check(b.Wait(2), quicktest.Equals, 2*time.Second)                      // what can't start in time any more does not count
	c.Check(b.Wait(1), quicktest.Equals, 2*time.Second+500*time.Millisecond) // more instances come after two seconds
	c.Check((&Backlog{Before: 1}).Wait(0), quicktest.Equals, maxWait)        // no room at all
	c.Check((&Backlog{}).Wait(0), quicktest.Equals, time.Duration(0))
}

func TestEstimatesAreCorrectedByWhatWasLearned(t *testing.T) {
	c := quicktest.New(t)
	r := NewRunTimes(math.Log(2), 0.25, 0.75)
	c.Check(r.Trust, quicktest.Equals, 0.25)
	c.Check(r.Estimate(0).Round(time.Millisecond), quicktest.Equals, 2*time.Second)
	c.Check(r.Estimate(32*time.Second).Round(time.Millisecond), quicktest.Equals, 4*time.Second)
	c.Check(NewRunTimes(1, 0, 0).LogError, quicktest.Equals, 0.0)
}

// TestOldKnowledgeRefusesNothing guards against refusals by an entry that hears nothing, after the leader is lost, or by a notice of an
// earlier leader that is still in the topic.
func TestOldKnowledgeRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := new(Board)
		current := func(fence int64) bool { n, _ := b.Current(fence); return n != nil }
		c.Check(current(0), quicktest.IsFalse)
		b.Post(&Notice{Fence: 7})
		c.Check(current(7), quicktest.IsTrue)
		c.Check(current(8), quicktest.IsFalse)
		time.Sleep(maxAge - time.Millisecond)
		c.Check(current(7), quicktest.IsTrue)
		time.Sleep(time.Millisecond)
		c.Check(current(7), quicktest.IsFalse)
		b.Post(&Notice{Fence: 7})
		b.Clear()
		c.Check(current(7), quicktest.IsFalse)
	})
}

// Notices are read by entries of other versions.
func TestTheNoticeKeepsItsForm(t *testing.T) {
	var n Notice
	golden.Fill(&n)
	golden.Check(quicktest.New(t), "notice", n, job.Encode, job.Decode)
}

// TestANoticeIsSmall guards against a notice that loads the links of all entries, which read it with each renewal.
func TestANoticeIsSmall(t *testing.T) {
	c := quicktest.New(t)
	var n Notice
	for range MaxQueues {
		q := known(0.5, everyLevel(time.Minute)...)
		q.Name = strings.Repeat("q", 12)
		for range MaxOrganisations {
			q.Organisations = append(q.Organisations, Organisation{Name: strings.Repeat("o", 12), Waits: q.Waits})
		}
		n.Queues = append(n.Queues, *q)
	}
	b, err := job.Encode(n)
	c.Assert(err, quicktest.IsNil)
	c.Check(len(b) <= 4<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(b)))
	one, err := job.Encode(Notice{Fence: 1 << 20, Queues: []Queue{*known(0.5, everyLevel(time.Second)...)}})
	c.Assert(err, quicktest.IsNil)
	c.Check(len(one) <= 100, quicktest.IsTrue, quicktest.Commentf("%d bytes: %s", len(one), hex.EncodeToString(one)))
}
