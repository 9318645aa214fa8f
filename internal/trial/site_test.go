// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

package trial

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
	"rackstep.dev/internal/memnet"
)

// fakeSite starts a small site on fake time and publishes its configuration.
func fakeSite(c *quicktest.C, spec Spec) *Site {
	spec.Network = new(memnet.Network)
	s, err := Start(spec, nil)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(s.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(s.Publish(ctx), quicktest.IsNil)
	return s
}

// smallest is a site on which every step can happen.
func smallest() Spec {
	return Spec{DataCentres: 2, EntriesEach: 2, Services: 1, RunnersEach: 4, Workers: 2, Cores: 4, MemoryMB: 1024, RackSize: 2, Spare: 1, RebootTime: time.Second}
}

func TestMaintenanceUnderLoadKeepsEveryPromise(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := fakeSite(c, smallest())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
		defer cancel()
		load := &Load{Site: s, Callers: 4, Work: 20 * time.Millisecond, Pause: 50 * time.Millisecond}
		loading, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { load.Run(loading); close(done) }()

		p, err := s.Operator(OperatorToken).Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
		c.Assert(err, quicktest.IsNil)
		c.Assert(p.Left, quicktest.HasLen, 0)
		_, err = s.Operator(OperatorToken).Order(ctx, p.ID, fleet.OrderConfirm)
		c.Assert(err, quicktest.IsNil)
		c.Assert(s.AwaitPlan(ctx, p.ID, fleet.PlanDone), quicktest.IsNil)
		stop()
		<-done
		v := s.Judge(load.Told())
		c.Assert(v.Broken(), quicktest.HasLen, 0)
		c.Assert(v.NotRun, quicktest.Equals, 0)
		c.Assert(v.Whole > 100, quicktest.IsTrue)
		c.Assert(s.Platform.Cuts(), quicktest.HasLen, 0)
	})
}
