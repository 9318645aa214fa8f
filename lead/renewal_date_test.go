// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// TestRenewalReadLateIsNotDatedByReadTime stalls a candidate while a renewal waits to be read. The age of the last
// renewal bounds what the old leader may have done since. A renewal dated by the time of reading looks too recent and hides that
// the leader has gone on without the store.
func TestRenewalReadLateIsNotDatedByReadTime(t *testing.T) {
	for _, stall := range [...]time.Duration{700 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tp := newTopic()
			var stalledUntil time.Time
			terms := make(chan Term, 9)
			store := tp.forEntry("b")
			read := store.Read
			store.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
				page, err := read(ctx, from, wait)
				time.Sleep(time.Until(stalledUntil)) // the answer has arrived and is not read
				return page, err
			}
			b := &Elector{Entry: "b", Boot: "1", Topic: store, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, t Term) { terms <- t; <-ctx.Done() }}
			leader := &Elector{Entry: "a", Boot: "1", Topic: tp.forEntry("a"), Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { <-ctx.Done() }}
			go func() { _ = leader.Run(ctx) }() // ends with the context
			time.Sleep(2 * time.Second)
			go func() { _ = b.Run(ctx) }()
			time.Sleep(10*time.Second + 100*time.Millisecond)
			stalledUntil = time.Now().Add(stall)
			time.Sleep(400 * time.Millisecond) // time for one more renewal
			tp.setFailing("a", true)
			last := time.Now()
			renewed := (<-terms).PredecessorRenewed
			c.Check(renewed.After(last.Add(renewalTransitMargin)), quicktest.IsFalse, quicktest.Commentf("%v after the last one", renewed.Sub(last)))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// renewalTransitMargin is what the scheduler allows for the time between the store's accepting a renewal and its being read.
const renewalTransitMargin = 100 * time.Millisecond
