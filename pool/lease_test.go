// SPDX-License-Identifier: MIT

package pool

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// TestLongLeaseRequiresStoredRecord guards against the next leader starting a lasting task elsewhere while its lease is still running.
func TestLongLeaseRequiresStoredRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		j := one(1)
		j.Spec.Steps[0].Lasting = true
		b := newBench(c, []*job.Job{j})
		for _, life := range []string{"w1", "w2"} {
			b.listWorker(life, []byte{1})
		}
		b.reports("w1", 10, nil)
		b.keeps()
		w := b.workers["w1"]
		c.Assert(b.leaseOf(w), quicktest.Equals, briefLease)
		c.Assert(b.ordered(), quicktest.Equals, 1)
		c.Assert(b.leaseOf(w), quicktest.Equals, briefLease)
		b.keeps()
		c.Assert(b.leaseOf(w), quicktest.Equals, b.Bounds().Lease)
		b.workers["w1"].drop(b.task(0))
		c.Assert(b.leaseOf(w), quicktest.Equals, b.Bounds().Lease, quicktest.Commentf("long leases stay allowed after the task is dropped"))
		c.Assert(b.leaseOf(b.workers["w2"]), quicktest.Equals, briefLease)
	})
}

// TestUnknownEarlierLeasesCountAsLong guards against starting a task elsewhere while a lease is still running that was given by a leader of
// another version or of a term before the previous one.
func TestUnknownEarlierLeasesCountAsLong(t *testing.T) {
	const term = 2
	for _, x := range [...]struct {
		name      string
		kept      *keptLeases
		stored    bool
		longLease bool
		birth     byte
		wantBrief bool
	}{
		{"stored in the previous term", &keptLeases{Term: term - 1}, true, false, 0, true},
		{"stored in the previous term as long", &keptLeases{Term: term - 1}, true, true, 0, false},
		{"stored in the previous term, order to the previous life may arrive late", &keptLeases{Term: term - 1}, true, false, 9, false},
		{"stored in the previous term without the life", &keptLeases{Term: term - 1}, false, false, 0, false},
		{"stored in an earlier term", &keptLeases{Term: term - 2}, true, false, 0, false},
		{"not stored", nil, true, false, 0, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := bornBench(c, one(1))
			life := work.Life{ID: "w", Birth: work.Birth(x.birth)}.String()
			var state feed.KeyedPage
			if x.stored {
				state.Records = append(state.Records, record(c, lifeKey+life, keptLife{Machine: "m-w", Pool: "p", Address: "a", LongLease: x.longLease}))
			}
			if x.kept != nil {
				state.Records = append(state.Records, record(c, leasesKey, x.kept))
			}
			b.take(state, []feed.KeyedPage{{}}, feed.KeyedPage{Records: []feed.KeyedRecord{{Key: "w", Value: []byte{x.birth}}}})
			w := b.workers[life]
			want := b.Bounds().Lease
			if x.wantBrief {
				want = briefLease
			}
			c.Assert(b.leasedBefore(w), quicktest.Equals, want)
			c.Assert(w.longLeaseAllowed.Load(), quicktest.Equals, x.longLease, quicktest.Commentf("long leases require a record of the previous term"))
		})
	}
}

// TestTermOfLeasesIsStoredAfterAllLives guards against the next leader relying on records of lives that were not all written.
func TestTermOfLeasesIsStoredAfterAllLives(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil, "w1", "w2")
	b.batchMost = 1
	hasLeases := func(records []feed.KeyedRecord) bool {
		for _, r := range records {
			if r.Key == leasesKey {
				return true
			}
		}
		return false
	}
	for range 8 {
		left := !b.livesDirty.Empty()
		records := b.keepLives(&commitEnded{}, nil)
		c.Assert(hasLeases(records) && !b.livesDirty.Empty(), quicktest.IsFalse, quicktest.Commentf("records of lives to write before the batch: %t", left))
	}
	c.Assert(b.leasesDirty, quicktest.Equals, !b.livesDirty.Empty())
}
