// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/work"
)

// TestARepeatedMoveEndsNoWorkerThatCameWithIt guards against tasks that run twice: a worker that came with a move whose call got no answer falls silent
// soon after the answer to the repeated call, and is taken for ended although its lease goes on.
func TestARepeatedMoveEndsNoWorkerThatCameWithIt(t *testing.T) {
	for _, x := range [...]struct {
		name       string
		unanswered int
		ends       bool
	}{
		{"the call was repeated", 2, false},
		{"the call was answered", 0, true}, // the list, which lags, may show an incarnation that the move has ended
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				b := newMoveBench(c, new(fakeMachines), 1)
				calls := 0
				b.Machines.Move = func(context.Context, string, string, int64) error {
					if calls++; calls <= x.unanswered {
						return context.DeadlineExceeded
					}
					return nil
				}
				b.ParseWorker = func(id string, _ []byte) (work.Worker, error) {
					return work.Worker{Incarnation: id, ID: id, Machine: "off000", Pool: "p"}, nil
				}
				s := &pendingMove{to: "p", since: time.Now()}
				b.moves["off000"] = s
				for range x.unanswered {
					b.requestMove("off000", s)
					b.applyAll()
				}
				w := b.applyWorkerRecord("w9", []byte{1}) // it came with the move
				time.Sleep(minKnownTime)
				b.report("w9", 10, nil)
				b.requestMove("off000", s)
				b.applyAll()
				c.Assert(s.moved, quicktest.IsTrue)
				time.Sleep(localStateTTL / 6)
				w.silentSince = time.Now()
				time.Sleep(2 * silentAfter)
				machinesListed{list: []Machine{{Name: "off000", Pool: "p", ID: "w9"}}, asked: time.Now()}.apply(b.session)
				c.Assert(b.endedIncarnations["w9"], quicktest.Equals, x.ends)
			})
		})
	}
}

// TestARefusalAfterAnUnansweredCallFreesNoSlot guards against more instances under maintenance at once than a wave allows: a call without an answer may
// still be carried out although its repeat was refused, or was never sent.
func TestARefusalAfterAnUnansweredCallFreesNoSlot(t *testing.T) {
	for _, x := range [...]struct {
		name    string
		answers []error
		away    int
	}{
		{"no answer, then busy", []error{context.DeadlineExceeded, ErrBusy}, 1},
		{"no answer, then not sent", []error{context.DeadlineExceeded, fmt.Errorf("%w: %w", errNotCalled, ErrBusy)}, 1},
		{"busy", []error{ErrBusy}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := newFixture(c, nil)
			row, s := b.wave(1), new(maintenanceStep)
			row.steps["m0"] = s
			row.markRequested("m0")
			for _, err := range x.answers {
				s.begin("w1")
				b.machineCalls.inFlight++
				maintenanceAnswered{row: row, machine: "m0", step: s, err: err}.apply(b.session)
			}
			c.Assert(b.countAway(row), quicktest.Equals, x.away)
		})
	}
}

// applyAll waits for the calls in progress and applies the messages about them.
func (b *fixture) applyAll() {
	synctest.Wait()
	for _, m := range b.inbox.takeAll() {
		m.apply(b.session)
	}
}
