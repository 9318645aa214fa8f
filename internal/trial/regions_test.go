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
	// regionsCut is how long the regions lose each other, regionsHealed the letter's bound for a configuration everywhere.
	regionsCut    = 4 * time.Minute
	regionsHealed = 12 * time.Second
)

// cutRegions cuts the second region off from the first one and from the platform, or joins it again.
func (s *Site) cutRegions(cut bool) {
	half := s.Spec.DataCentres / 2
	for b := half; b < s.Spec.DataCentres; b++ {
		s.SetCut(Centre(b), PlatformPlace, cut)
		for a := range half {
			s.SetCut(Centre(a), Centre(b), cut)
		}
	}
}

// TestRegionsThatLoseEachOtherServeOnAndAgreeSoonAfter has two regions, of which only the first reaches the platform meanwhile.
func TestRegionsThatLoseEachOtherServeOnAndAgreeSoonAfter(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := smallest()
		spec.DataCentres, spec.EntriesEach, spec.RunnersEach = 4, 1, 8
		s := fakeSite(c, spec)
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
			told := load.Send(s.CallerOf(EntryName(2+i%2, 0)), load.request(ServiceName(0), fmt.Sprint("cut", i), false))
			load.remember(told)
			if told.Outcome == serve.OutcomeWhole {
				whole++
			}
		}
		c.Assert(whole, quicktest.Equals, tries)
		single := load.Send(s.CallerOf(EntryName(2, 0)), load.single(ServiceName(0), "single", time.Now().Add(30*time.Second)))
		load.remember(single)
		c.Assert(single.Outcome, quicktest.Equals, serve.OutcomeNotRun) // it can't be claimed there
		time.Sleep(regionsCut - time.Minute)
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
		t.Logf("the configuration was in force everywhere %s after the regions met again", took.Round(time.Millisecond))
		c.Assert(took <= regionsHealed, quicktest.IsTrue)
		stop()
		<-done
		c.Assert(s.Judge(load.Told()).Broken(), quicktest.HasLen, 0)
	})
}
