// SPDX-License-Identifier: MIT

//go:build !race

package trial

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
	"rackstep.dev/route"
)

// TestJobsArePlacedSoonAfterTheirLeaderCrashes guards against jobs that stay queued after the entry that places jobs
// crashes. The other entries notice the crash only after half a minute, so the next in line must place the job before that.
func TestJobsArePlacedSoonAfterTheirLeaderCrashes(t *testing.T) {
	for _, urgent := range [...]bool{false, true} {
		inBubble(t, func(t *testing.T) {
			c := quicktest.New(t)
			spec := smallSpec()
			spec.DataCentres, spec.EntriesEach = 4, 1
			s := startFakeTimeSite(c, spec)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			var entries []string
			for i := range spec.DataCentres {
				entries = append(entries, EntryName(i, 0))
			}
			s.CrashEntry(route.Owner("place", entries))
			run := trialRun{site: s}
			c.Assert(run.submit(ctx, fleet.JobSpec{ID: "job", Pool: BatchPool, Cores: 2, Urgent: urgent, Command: "run 10s"}), quicktest.IsNil)
			begin := time.Now()
			c.Assert(s.Await(ctx, func() bool { return jobsByID(ctx, c, s)["job"].State == fleet.JobRunning }), quicktest.IsNil)
			took := time.Since(begin)
			t.Logf("urgent %t: the job ran after %s of fake time", urgent, took)
			c.Assert(took <= 3500*time.Millisecond, quicktest.IsTrue)
		})
	}
}

// TestJobsSurviveCrashOfEntriesInTheirDataCentre guards against a job that is lost or started again when the entries that renew
// its lease crash. Entries of the other data centre must take over before the lease expires.
func TestJobsSurviveCrashOfEntriesInTheirDataCentre(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := smallSpec()
		s := startFakeTimeSite(c, spec)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		run := trialRun{site: s}
		job := fleet.JobSpec{ID: "job", Pool: BatchPool, DataCentres: []string{Centre(0)}, Cores: 2, Command: "run 200s"}
		c.Assert(run.submit(ctx, job), quicktest.IsNil)
		c.Assert(s.Await(ctx, func() bool { return jobsByID(ctx, c, s)["job"].State == fleet.JobRunning }), quicktest.IsNil)
		time.Sleep(100 * time.Second) // so that calls are in a long wait
		for i := range spec.EntriesEach {
			s.CrashEntry(EntryName(0, i))
		}
		c.Assert(s.Await(ctx, func() bool { return jobsByID(ctx, c, s)["job"].State.Ended() }), quicktest.IsNil)
		c.Assert(jobsByID(ctx, c, s)["job"].State, quicktest.Equals, fleet.JobDone)
		c.Assert(s.Platform.Starts()["job"], quicktest.Equals, 1)
	})
}
