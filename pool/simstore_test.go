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

// topic is a topic of keyed records in the simulated store.
type topic struct {
	records  []feed.KeyedRecord
	epochs   map[string]int64 // the current epoch, by writer
	next     map[string]int64 // the next sequence number, by writer
	appended map[string]int64 // the topic's end after a batch, by writer, epoch and sequence number
	changed  chan struct{}    // closed when records are added
}

func (sim *simulation) topic(name string) *topic {
	t := sim.topics[name]
	if t == nil {
		t = &topic{epochs: make(map[string]int64), next: make(map[string]int64), appended: make(map[string]int64), changed: make(chan struct{})}
		sim.topics[name] = t
	}
	return t
}

func (t *topic) add(records ...feed.KeyedRecord) {
	for _, r := range records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *topic) append(b feed.Batch, repeatsBeforeFencing bool) (int64, error) {
	key := fmt.Sprint(b.Name, "/", b.Epoch, "/", b.Sequence)
	if b.Epoch > 0 {
		end, again := t.appended[key]
		switch {
		case again && repeatsBeforeFencing:
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
		t.appended[key] = int64(len(t.records))
	}
	return int64(len(t.records)), nil
}

// topicFor returns a topic as an entry reaches it.
func (sim *simulation) topicFor(entry, name string) feed.Topic {
	store := func(ctx context.Context, exec func()) error {
		sim.awaitThaw(entry)
		sim.mu.Lock()
		down, lossRate := time.Until(sim.storeDownUntil), sim.storeLossRate
		refuses := sim.storeRejects || sim.chance(0.5)
		if down > 0 {
			sim.lastDisrupted[entry] = sim.storeDownUntil
		}
		sim.mu.Unlock()
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
		sim.pause(ctx, func(s *slowness) delayRange { return s.store })
		err := sim.call(ctx, entry, simStore, 0, lossRate, func(bool, bool) { exec() })
		if err != nil {
			sim.mu.Lock()
			sim.lastDisrupted[entry] = time.Now()
			sim.mu.Unlock()
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
				sim.mu.Lock()
				end, failed = sim.topic(name).append(b, sim.repeatsBeforeFencing)
				sim.mu.Unlock()
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
			err := store(ctx, func() { pages <- sim.read(name, from, wait) })
			if err != nil {
				return feed.KeyedPage{}, err
			}
			return <-pages, nil
		},
		Newest: func(ctx context.Context) (feed.KeyedPage, error) {
			pages := make(chan feed.KeyedPage, 1)
			err := store(ctx, func() { pages <- sim.newest(name) })
			if err != nil {
				return feed.KeyedPage{}, err
			}
			return <-pages, nil
		},
	}
}

func (sim *simulation) read(name string, from int64, wait time.Duration) feed.KeyedPage {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		sim.mu.Lock()
		t := sim.topic(name)
		page := feed.KeyedPage{Records: slices.Clone(t.records[from:]), Next: int64(len(t.records))}
		changed := t.changed
		sim.mu.Unlock()
		if len(page.Records) > 0 {
			return page
		}
		select {
		case <-changed:
		case <-timer.C:
			return page
		}
	}
}

func (sim *simulation) newest(name string) feed.KeyedPage {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	t := sim.topic(name)
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
