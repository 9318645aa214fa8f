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

// The story. A task was started again after it was done, over a cut of ten seconds.
//
//  1. A leader had parked half of the instances; of the six that were left four were in its data centre, which was cut off with it. These were
//     most of what it counted, so that it went on leasing and ordering.
//  2. The next leader brought seven of the parked instances back. With two of the six it had its token at half of all that there were then, took the
//     earlier one for stopped, and started elsewhere what ran in the cut.
//
// The cause: instances that were not there under the earlier leader counted towards the half that stops it; no majority of the earlier one's needs
// any of them. The evidence: a random history of takeovers whose earlier leader orders on the word of most workers until the cut ends.
func TestLivesThatBeganLaterDoNotStopTheEarlierLeader(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil, "w1", "w2", "w3", "w4")
	b.term.Exclusive, b.term.CleanHandover = false, false
	b.reports("w1", 100, nil)
	for i := range 5 {
		life := fmt.Sprint("new", i)
		b.listWorker(life, []byte{1})
		b.reports(life, 100, nil)
	}
	c.Assert(b.raised.IsZero(), quicktest.IsTrue, quicktest.Commentf("three of four may answer the earlier leader"))
	b.reports("w2", 100, nil)
	c.Assert(b.raised.IsZero(), quicktest.IsFalse)
}

// The story. A task was started again after it was done, with two takeovers in a row.
//
//  1. The first leader lost the store and went on with its workers; 2.2 s after its last renewal it ordered a task that was not kept.
//  2. The second one heard hardly any worker, for four seconds, until it was lost as well. It told the next one that somebody before it may still
//     give orders, and nothing of orders that are not kept: that was only looked at once half of the workers had answered.
//  3. The third heard half of them 15 ms after it had read the tables, soon after the newest renewal of the second, and took no order for unkept.
//
// The cause: how late half of the workers are heard tells of the leader whose renewal was read last; the one before that must be judged by the leader in
// between, also if it never hears half. The evidence: a random history in which the order, the two takeovers and the second start lie so.
func TestALeaderThatHearsNoHalfOfTheWorkersTellsTheNextOfOrdersThatAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2", "w3", "w4")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now()}
		var open, coarse bool
		b.PublishEarlierLeaders = func(o, k bool) { open, coarse = o, k }
		b.reports("w1", 100, nil)
		time.Sleep(raisedWithin(4))
		b.watchLeases(time.Now())
		c.Assert(open, quicktest.IsTrue)
		c.Assert(coarse, quicktest.IsFalse, quicktest.Commentf("the earlier leader can't have gone on without the store so soon"))
		time.Sleep(tickEvery)
		b.watchLeases(time.Now())
		c.Assert(coarse, quicktest.IsTrue)
	})
}
