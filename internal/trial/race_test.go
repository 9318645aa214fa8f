// SPDX-License-Identifier: MIT

//go:build race

package trial

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

// TestSiteOnLoopback runs a site on real sockets under the race detector, through a maintenance plan, a planned stop and a
// crash. It checks no durations, since the detector slows the site down.
func TestSiteOnLoopback(t *testing.T) {
	c := quicktest.New(t)
	spec := Spec{DataCentres: 2, EntriesEach: 2, Services: 1, RunnersEach: 4, Workers: 2, Cores: 4, MemoryMB: 1024, RackSize: 2, Spare: 1, RebootTime: 100 * time.Millisecond}
	s, err := Start(spec, nil)
	c.Assert(err, quicktest.IsNil)
	defer s.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	c.Assert(s.Publish(ctx), quicktest.IsNil)
	load := &Load{Site: s, Callers: 4, Work: time.Millisecond, Pause: 5 * time.Millisecond}
	loading, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { load.Run(loading); close(done) }()
	p, err := s.Operator(OperatorToken).Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
	c.Assert(err, quicktest.IsNil)
	_, err = s.Operator(OperatorToken).Order(ctx, p.ID, fleet.OrderConfirm)
	c.Assert(err, quicktest.IsNil)
	s.StopEntry(EntryName(1, 1))
	c.Assert(s.AwaitPlan(ctx, p.ID, fleet.PlanDone), quicktest.IsNil)
	s.CrashEntry(EntryName(0, 1))
	stop()
	<-done
	v := s.Evaluate(load.Replies())
	c.Assert(v.RanTwice+v.Mismatched+v.RanAfterNotRun+v.DuringMaintenance, quicktest.Equals, 0, quicktest.Commentf("%+v", v))
	c.Assert(s.Platform.Interruptions(), quicktest.HasLen, 0)
}
