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

// TestARenewalThatIsReadLateCountsFromWhenItCanHaveCome has a candidate stand still while a renewal waits for it. What the leader may have done
// since its last renewal is judged by that one's age: taken for new when it is read, it hid that the leader had gone on without the store.
func TestARenewalThatIsReadLateCountsFromWhenItCanHaveCome(t *testing.T) {
	for _, stood := range [...]time.Duration{700 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			tp := newTopic()
			var stands time.Time
			terms := make(chan Term, 9)
			of := tp.of("b")
			read := of.Read
			of.Read = func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
				page, err := read(ctx, from, wait)
				time.Sleep(time.Until(stands)) // the answer is there, and nobody looks
				return page, err
			}
			b := &Elector{Entry: "b", Boot: "1", Topic: of, Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, t Term) { terms <- t; <-ctx.Done() }}
			leader := &Elector{Entry: "a", Boot: "1", Topic: tp.of("a"), Weight: 1, Events: new(event.Ring), Serve: func(ctx context.Context, _ Term) { <-ctx.Done() }}
			go func() { _ = leader.Run(ctx) }() // it ends with the context
			time.Sleep(2 * time.Second)
			go func() { _ = b.Run(ctx) }()
			time.Sleep(10*time.Second + 100*time.Millisecond)
			stands = time.Now().Add(stood)
			time.Sleep(400 * time.Millisecond) // one renewal more
			tp.setFails("a", true)
			last := time.Now()
			renewed := (<-terms).PredecessorRenewed
			c.Check(renewed.After(last.Add(raisedMargin)), quicktest.IsFalse, quicktest.Commentf("%v after the last one", renewed.Sub(last)))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// raisedMargin is what the scheduler allows for a renewal's way from the store to its reader.
const raisedMargin = 100 * time.Millisecond
