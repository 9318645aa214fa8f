// SPDX-License-Identifier: MIT

package admission

import (
	"cmp"
	"slices"
	"time"
)

// Work is work that waits in a pool and can still be in time.
type Work struct {
	// Rank is its expected value, by which placement orders it.
	Rank float64
	// Seconds is the work in instance-seconds.
	Seconds float64
	// Until is the time within which it must start to be in time.
	Until time.Duration
}

// Room is the capacity of a pool in instances: what it has now, and what it may have in addition after Delay.
type Room struct {
	Now, Later float64
	Delay      time.Duration
}

// TimeFor returns how long the room takes at least for the given instance-seconds.
func (r Room) TimeFor(work float64) time.Duration {
	switch first := r.Now * r.Delay.Seconds(); {
	case work <= 0:
		return 0
	case work > first && r.Now+r.Later > 0:
		return r.Delay + seconds((work-first)/(r.Now+r.Later))
	case r.Now > 0:
		return seconds(work / r.Now)
	}
	return maxWait
}

// maxWait bounds the waits that are published.
const maxWait = time.Minute

// Backlog is the work that a fresh job of a pool may have to wait for.
type Backlog struct {
	// Before is the work, in instance-seconds, that goes before every fresh job: what runs, and what has a higher priority.
	Before float64
	// Waiting is the other waiting work, sorted by Until. Work that can't be in time goes after a fresh job and is not part of it.
	Waiting []Work
	Room    Room
}

// Sort sorts Waiting.
func (b *Backlog) Sort() {
	slices.SortFunc(b.Waiting, func(x, y Work) int { return cmp.Compare(x.Until, y.Until) })
}

// Wait returns a lower bound for the time until the first start of a fresh job with the given rank.
//
// The work with a higher rank is taken to be done in the order in which it has to start. What can't start in time any more by then, with
// the error that a wait may have, goes after the job.
func (b *Backlog) Wait(rank float64) time.Duration {
	work := b.Before
	at := b.Room.TimeFor(work)
	for i := range b.Waiting {
		if w := &b.Waiting[i]; w.Rank >= rank && w.Until+errorOf(w.Until) > at {
			work += w.Seconds
			at = b.Room.TimeFor(work)
		}
	}
	return min(at, maxWait)
}
