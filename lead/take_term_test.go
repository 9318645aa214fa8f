// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// TestCandidateWithSharedFenceDoesNotLead has two candidates draw the same fence for one term. The store takes the second record
// for a repetition of the first and repeats its answer, so both candidates are told that their append succeeded. Only the first
// may lead.
func TestCandidateWithSharedFenceDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tp := newTopic()
		leads := make(chan string, 9)
		candidate := func(name string) *Elector {
			store := tp.forEntry(name)
			appendTo := store.Append
			store.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				if end, err := appendTo(ctx, b); err == nil || b.ExpectedEnd < 0 {
					return end, err
				}
				return int64(b.ExpectedEnd) + 1, nil // same epoch and sequence number: the store repeats its first answer
			}
			return &Elector{Entry: name, Boot: "1", Topic: store, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- name; <-ctx.Done() }}
		}
		a, b := candidate("a"), candidate("b")
		c.Assert(a.readNewest(ctx), quicktest.IsNil)
		c.Assert(b.readNewest(ctx), quicktest.IsNil)
		a.renewNow, b.renewNow = make(chan struct{}, 1), make(chan struct{}, 1)
		a.takeTerm(ctx)
		b.takeTerm(ctx)
		time.Sleep(10 * time.Millisecond)
		c.Assert(len(leads), quicktest.Equals, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestALeadIsTakenFromASlowStore has each call to the store take 0.4 s. A term's record is appended and read back; with one
// timeout for both, no term could be taken from a slow store.
func TestALeadIsTakenFromASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := newTopic().forEntry("a")
		slow := func(ctx context.Context) error {
			select {
			case <-time.After(400 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return feed.ErrUncertain
			}
		}
		appendTo, read := store.Append, store.Read
		store.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
			if err := slow(ctx); err != nil {
				return 0, err
			}
			return appendTo(ctx, b)
		}
		store.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			if err := slow(ctx); err != nil {
				return feed.KeyedPage{}, err
			}
			return read(ctx, from, wait)
		}
		leads := make(chan bool, 1)
		a := &Elector{Entry: "a", Boot: "1", Topic: store, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- true; <-ctx.Done() }}
		c.Assert(a.readNewest(ctx), quicktest.IsNil)
		a.renewNow = make(chan struct{}, 1)
		a.takeTerm(ctx)
		time.Sleep(10 * time.Millisecond)
		c.Assert(len(leads), quicktest.Equals, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestTermIsTakenWhileStoreTrims has the store trim its history repeatedly, so that a term's record is gone when it is read
// back by offset. In a soak test (seed 109) no entry could become leader from then on. The newest record of the key is never
// trimmed and shows whose term it is.
func TestTermIsTakenWhileStoreTrims(t *testing.T) {
	for _, follower := range [...]string{"", "b"} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := newTopic().forEntry("a")
			appendTo, newest := store.Append, store.Newest
			store.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				end, err := appendTo(ctx, b)
				if err == nil && follower != "" && b.ExpectedEnd >= 0 { // another entry takes the next term before the record is read back
					value, encoded := cbor.Marshal(Record{Entry: follower, Boot: "1", Term: 2, Fence: 2 << fenceBits})
					c.Assert(encoded, quicktest.IsNil)
					return appendTo(ctx, feed.Batch{ExpectedEnd: -1, Records: []feed.KeyedRecord{{Key: key, Value: value}}})
				}
				return end, err
			}
			store.Read = func(context.Context, int64, time.Duration) (feed.KeyedPage, error) {
				return feed.KeyedPage{}, &feed.TrimmedError{}
			}
			store.Newest = newest
			leads := make(chan bool, 1)
			a := &Elector{Entry: "a", Boot: "1", Topic: store, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- true; <-ctx.Done() }}
			c.Assert(a.readNewest(ctx), quicktest.IsNil)
			a.renewNow = make(chan struct{}, 1)
			a.takeTerm(ctx)
			time.Sleep(10 * time.Millisecond)
			want := 1
			if follower != "" {
				want = 0
			}
			c.Assert(len(leads), quicktest.Equals, want)
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
