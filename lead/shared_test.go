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

// TestWhoIsToldOfAnothersRecordDoesNotLead has two candidates draw the same fencing token for one term. The store takes the second one's record
// for the first one's, sent again, and repeats its answer to it: both were told that they lead.
func TestWhoIsToldOfAnothersRecordDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tp := newTopic()
		leads := make(chan string, 9)
		candidate := func(name string) *Elector {
			of := tp.of(name)
			take := of.Append
			of.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				if end, err := take(ctx, b); err == nil || b.ExpectedEnd < 0 {
					return end, err
				}
				return int64(b.ExpectedEnd) + 1, nil // the same token and number: the first answer again
			}
			return &Elector{Entry: name, Boot: "1", Topic: of, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- name; <-ctx.Done() }}
		}
		a, b := candidate("a"), candidate("b")
		c.Assert(a.begin(ctx), quicktest.IsNil)
		c.Assert(b.begin(ctx), quicktest.IsNil)
		a.hurry, b.hurry = make(chan struct{}, 1), make(chan struct{}, 1)
		a.take(ctx)
		b.take(ctx)
		time.Sleep(10 * time.Millisecond)
		c.Assert(len(leads), quicktest.Equals, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestALeadIsTakenFromASlowStore has each call of the store take 0.4 s, as in its slow times: a term is appended and read back, and each has its own time.
func TestALeadIsTakenFromASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		of := newTopic().of("a")
		slow := func(ctx context.Context) error {
			select {
			case <-time.After(400 * time.Millisecond):
				return nil
			case <-ctx.Done():
				return feed.ErrUncertain
			}
		}
		take, read := of.Append, of.Read
		of.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
			if err := slow(ctx); err != nil {
				return 0, err
			}
			return take(ctx, b)
		}
		of.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			if err := slow(ctx); err != nil {
				return feed.KeyedPage{}, err
			}
			return read(ctx, from, wait)
		}
		leads := make(chan bool, 1)
		a := &Elector{Entry: "a", Boot: "1", Topic: of, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- true; <-ctx.Done() }}
		c.Assert(a.begin(ctx), quicktest.IsNil)
		a.hurry = make(chan struct{}, 1)
		a.take(ctx)
		time.Sleep(10 * time.Millisecond)
		c.Assert(len(leads), quicktest.Equals, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestALeadIsTakenWhileTheStoreForgets has the store drop its history again and again, so that a term's record is gone from the history when it is
// read back: found by the soak (seed 109), where nobody led any more from then on. The newest record of the key stays, and tells whose the term is.
func TestALeadIsTakenWhileTheStoreForgets(t *testing.T) {
	for _, follower := range [...]string{"", "b"} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			of := newTopic().of("a")
			take, newest := of.Append, of.Newest
			of.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				end, err := take(ctx, b)
				if err == nil && follower != "" && b.ExpectedEnd >= 0 { // another one has followed before it is read back
					value, encoded := cbor.Marshal(Record{Entry: follower, Boot: "1", Term: 2, Fence: 2 << fenceBits})
					c.Assert(encoded, quicktest.IsNil)
					return take(ctx, feed.Batch{ExpectedEnd: -1, Records: []feed.KeyedRecord{{Key: key, Value: value}}})
				}
				return end, err
			}
			of.Read = func(context.Context, int64, time.Duration) (feed.KeyedPage, error) {
				return feed.KeyedPage{}, &feed.TrimmedError{}
			}
			of.Newest = newest
			leads := make(chan bool, 1)
			a := &Elector{Entry: "a", Boot: "1", Topic: of, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { leads <- true; <-ctx.Done() }}
			c.Assert(a.begin(ctx), quicktest.IsNil)
			a.hurry = make(chan struct{}, 1)
			a.take(ctx)
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
