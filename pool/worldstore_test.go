// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/feed"
)

// topic is a keyed topic of the store.
type topic struct {
	records []feed.KeyedRecord
	epochs  map[string]int64
	next    map[string]int64
	taken   map[string]int64 // the end after a batch, by writer, epoch and sequence
	grown   chan struct{}
}

func (w *world) topic(name string) *topic {
	t := w.topics[name]
	if t == nil {
		t = &topic{epochs: make(map[string]int64), next: make(map[string]int64), taken: make(map[string]int64), grown: make(chan struct{})}
		w.topics[name] = t
	}
	return t
}

func (t *topic) add(records ...feed.KeyedRecord) {
	for _, r := range records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

func (t *topic) append(b feed.Batch, answersAgain bool) (int64, error) {
	key := fmt.Sprint(b.Name, "/", b.Epoch, "/", b.Sequence)
	if b.Epoch > 0 {
		end, again := t.taken[key]
		switch {
		case again && answersAgain:
			return end, nil
		case b.Epoch < t.epochs[b.Name]:
			return 0, &feed.FencedError{}
		case again:
			return end, nil
		case b.Epoch == t.epochs[b.Name] && b.Sequence != t.next[b.Name]:
			return 0, &feed.SequenceError{Want: t.next[b.Name]}
		}
	}
	if b.ExpectedEnd >= 0 && b.ExpectedEnd != int64(len(t.records)) {
		return 0, &feed.ConditionError{End: int64(len(t.records))}
	}
	t.add(b.Records...)
	if b.Epoch > 0 {
		t.epochs[b.Name], t.next[b.Name] = b.Epoch, b.Sequence+1
		t.taken[key] = int64(len(t.records))
	}
	return int64(len(t.records)), nil
}

// of returns the topic as an entry sees it.
func (w *world) of(entry, name string) feed.Topic {
	store := func(ctx context.Context, exec func()) error {
		w.thaw(entry)
		w.mu.Lock()
		down, loses := time.Until(w.storeDown), w.storeLoses
		refuses := w.chance(0.5)
		if down > 0 {
			w.outOfTouch[entry] = w.storeDown
		}
		w.mu.Unlock()
		if down > 0 {
			if refuses {
				return feed.ErrUnavailable
			}
			d, ok := ctx.Deadline()
			if !ok {
				d = time.Now().Add(down)
			}
			time.Sleep(min(down, time.Until(d)))
			return feed.ErrUncertain
		}
		err := w.call(ctx, entry, modelStore, 0, loses, func(bool, bool) { exec() })
		if err != nil {
			w.mu.Lock()
			w.outOfTouch[entry] = time.Now()
			w.mu.Unlock()
		}
		switch {
		case errors.Is(err, errUnsent):
			return feed.ErrUnavailable
		case err != nil:
			return feed.ErrUncertain
		}
		return nil
	}
	return feed.Topic{
		Append: func(ctx context.Context, b feed.Batch) (int64, error) {
			var end int64
			var failed error
			answer := make(chan struct{})
			err := store(ctx, func() {
				w.mu.Lock()
				end, failed = w.topic(name).append(b, w.answersAgain)
				w.mu.Unlock()
				close(answer)
			})
			if err != nil {
				return 0, err
			}
			<-answer
			return end, failed
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (feed.KeyedPage, error) {
			pages := make(chan feed.KeyedPage, 1)
			err := store(ctx, func() { pages <- w.read(name, from, wait) })
			if err != nil {
				return feed.KeyedPage{}, err
			}
			return <-pages, nil
		},
		Newest: func(ctx context.Context) (feed.KeyedPage, error) {
			pages := make(chan feed.KeyedPage, 1)
			err := store(ctx, func() { pages <- w.newest(name) })
			if err != nil {
				return feed.KeyedPage{}, err
			}
			return <-pages, nil
		},
	}
}

func (w *world) read(name string, from int64, wait time.Duration) feed.KeyedPage {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		t := w.topic(name)
		page := feed.KeyedPage{Records: slices.Clone(t.records[from:]), Next: int64(len(t.records))}
		grown := t.grown
		w.mu.Unlock()
		if len(page.Records) > 0 {
			return page
		}
		select {
		case <-grown:
		case <-timer.C:
			return page
		}
	}
}

func (w *world) newest(name string) feed.KeyedPage {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.topic(name)
	latest := make(map[string]int)
	for i, r := range t.records {
		latest[r.Key] = i
	}
	page := feed.KeyedPage{Next: int64(len(t.records))}
	for i, r := range t.records {
		if latest[r.Key] == i && len(r.Value) > 0 {
			page.Records = append(page.Records, r)
		}
	}
	return page
}
