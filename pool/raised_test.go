// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
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
	b.term.Alone, b.term.Clean = false, false
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
