// SPDX-License-Identifier: MIT

//go:build !race

package trial

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/admin"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

const (
	// regionsCutTime is the duration of the partition. maxConvergenceTime is the required upper bound on the time until the
	// configuration is in force at every entry.
	regionsCutTime     = 4 * time.Minute
	maxConvergenceTime = 12 * time.Second
)

// cutRegions cuts or restores the network between the second region and both the first region and the platform.
func (s *Site) cutRegions(cut bool) {
	half := s.Spec.DataCentres / 2
	for b := half; b < s.Spec.DataCentres; b++ {
		s.SetCut(Centre(b), PlatformEndpoint, cut)
		for a := range half {
			s.SetCut(Centre(a), Centre(b), cut)
		}
	}
}

// TestPartitionedRegionsServeAndConverge partitions two regions, of which only the first reaches the platform.
// It guards against a second region that stops serving or runs a request that it can't claim, and against one that misses
// the configuration published meanwhile.
func TestPartitionedRegionsServeAndConverge(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := smallSpec()
		spec.DataCentres, spec.EntriesEach, spec.RunnersEach = 4, 1, 8
		s := startFakeTimeSite(c, spec)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		load := &Load{Site: s, Callers: 4, Work: 20 * time.Millisecond, Pause: 100 * time.Millisecond}
		loading, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { load.Run(loading); close(done) }()
		time.Sleep(10 * time.Second)

		s.cutRegions(true)
		time.Sleep(time.Minute)
		conf := spec.Configuration()
		conf.Pools = append(conf.Pools, fleet.Pool{Name: "spare"})
		_, err := s.OperatorOf(EntryName(0, 0), OperatorToken).Apply(ctx, admin.ApplyRequest{ID: "second", Base: 1, Configuration: conf})
		c.Assert(err, quicktest.IsNil)
		whole := 0
		const tries = 100
		for i := range tries {
			reply := load.Send(s.CallerOf(EntryName(2+i%2, 0)), load.repeatableRequest(ServiceName(0), fmt.Sprint("cut", i), false))
			load.record(reply)
			if reply.Outcome == serve.OutcomeWhole {
				whole++
			}
		}
		c.Assert(whole, quicktest.Equals, tries)
		once := load.Send(s.CallerOf(EntryName(2, 0)), load.onceRequest(ServiceName(0), "single", time.Now().Add(30*time.Second)))
		load.record(once)
		c.Assert(once.Outcome, quicktest.Equals, serve.OutcomeNotRun) // without the log the request can't be claimed
		time.Sleep(regionsCutTime - time.Minute)
		behind, err := s.OperatorOf(EntryName(3, 0), OperatorToken).Status(ctx)
		c.Assert(err, quicktest.IsNil)
		c.Assert(behind.Version, quicktest.Equals, uint64(1))
		s.cutRegions(false)
		healed := time.Now()
		for i := range spec.DataCentres {
			c.Assert(s.Await(ctx, func() bool {
				st, err := s.OperatorOf(EntryName(i, 0), OperatorToken).Status(ctx)
				return err == nil && st.Version == 2 && len(st.Entries) == spec.DataCentres
			}), quicktest.IsNil)
		}
		took := time.Since(healed)
		t.Logf("the configuration was in force at every entry %s after the partition healed", took.Round(time.Millisecond))
		c.Assert(took <= maxConvergenceTime, quicktest.IsTrue)
		stop()
		<-done
		c.Assert(s.Evaluate(load.Replies()).Violations(), quicktest.HasLen, 0)
	})
}
