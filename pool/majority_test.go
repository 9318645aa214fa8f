// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/lead"
)

// TestIncarnationsThatBeganLaterDoNotStopTheEarlierLeader guards against a task that runs twice during a network partition.
// The earlier leader had parked half of the instances, and four of the remaining six were in its partition, so it
// went on giving orders with a majority of what it counted. The next leader brought seven parked instances back. With
// those and two of the six it had its token at half of the instances, considered the earlier leader stopped, and
// started its tasks elsewhere. Instances that the earlier leader did not count must not count towards the half that
// stops it, because none of its majorities needs them.
func TestIncarnationsThatBeganLaterDoNotStopTheEarlierLeader(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil, "w1", "w2", "w3", "w4")
	b.term.Exclusive, b.term.CleanHandover = false, false
	b.report("w1", 100, nil)
	for i := range 5 {
		incarnation := fmt.Sprint("new", i)
		b.applyWorkerRecord(incarnation, []byte{1})
		b.report(incarnation, 100, nil)
	}
	c.Assert(b.majorityFencedAt.IsZero(), quicktest.IsTrue, quicktest.Commentf("three of four may still answer the earlier leader"))
	b.report("w2", 100, nil)
	c.Assert(b.majorityFencedAt.IsZero(), quicktest.IsFalse)
}

// TestALeaderThatHearsNoHalfOfTheWorkersTellsTheNextOfOrdersThatAreNotKept guards against a task that runs twice
// after two takeovers in a row. The first leader lost the store and ordered an unstored run 2.2 s after its last
// renewal. The second one heard from few workers before it was lost, and announced that earlier leaders may still
// give orders but not that unstored runs may exist, because it checked that only after half of the workers had
// answered. The third one heard from half of them within 15 ms and assumed that no unstored run existed. How late
// half of the workers answer is evidence only about the leader of the latest renewal, so each leader must judge its
// predecessor even if half of the workers never answer.
func TestALeaderThatHearsNoHalfOfTheWorkersTellsTheNextOfOrdersThatAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1", "w2", "w3", "w4")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now()}
		var open, coarse bool
		b.PublishEarlierLeaders = func(o, k bool) { open, coarse = o, k }
		b.report("w1", 100, nil)
		time.Sleep(raisedWithin(4))
		b.checkLeases(time.Now())
		c.Assert(open, quicktest.IsTrue)
		c.Assert(coarse, quicktest.IsFalse, quicktest.Commentf("the earlier leader can't have gone on without the store so soon"))
		time.Sleep(tickInterval)
		b.checkLeases(time.Now())
		c.Assert(coarse, quicktest.IsTrue)
	})
}
