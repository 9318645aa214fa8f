// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/place"
)

// poolRoom is the free capacity of a pool during one check of the waiting tasks.
type poolRoom struct {
	// usable are the workers that get starts now. listed are also those that this leader gives none for a time, such as silent ones: clients count their capacity as free.
	usable, listed workerRoom
	// capacity and unused are sums over the listed workers.
	capacity, unused job.Need
	// unusable counts the other listed workers by what keeps starts from them.
	unusable unusableCounts
}

func newPoolRoom() *poolRoom {
	return &poolRoom{usable: workerRoom{fits: make(map[fitKey]int)}, listed: workerRoom{fits: make(map[fitKey]int)}}
}

// poolRooms returns the free capacity of all pools. Workers that leave or are drained count for nothing.
func (c *session) poolRooms(now time.Time) map[string]*poolRoom {
	rooms := make(map[string]*poolRoom, len(c.pools))
	confirmed := c.confirmed(now)
	for _, w := range c.workers {
		if !w.listed || w.Leaving || w.drained {
			continue
		}
		x := rooms[w.Pool]
		if x == nil {
			x = newPoolRoom()
			rooms[w.Pool] = x
		}
		x.capacity, x.unused = x.capacity.Plus(w.Capacity), x.unused.Plus(w.candidate.Free.Max(job.Need{}))
		x.listed.add(w)
		if c.hidesUsage(w) || !c.mayBeCandidate(w, confirmed, now) {
			x.unusable.add(c, w, now)
			continue
		}
		x.usable.add(w)
	}
	return rooms
}

// halfUsed reports whether half of the pool's processors or memory is in use.
func (x *poolRoom) halfUsed() bool {
	half := func(unused, capacity int) bool { return capacity > 0 && 2*unused <= capacity }
	return half(x.unused.MilliCPU, x.capacity.MilliCPU) || half(x.unused.MemoryMB, x.capacity.MemoryMB)
}

// workerRoom is the free capacity of some workers.
type workerRoom struct {
	workers []*worker
	// largest is the largest free amount of each resource on any of them, and free the sum.
	largest, free job.Need
	// fits holds results of count, because the tasks of a queue are alike.
	fits map[fitKey]int
}

// fitKey is what the number of tasks that fit depends on. most is the number at which counting ends.
type fitKey struct {
	need  job.Need
	label string
	most  int
}

func (x *workerRoom) add(w *worker) {
	free := w.candidate.Free.Max(job.Need{})
	x.workers = append(x.workers, w)
	x.largest, x.free = x.largest.Max(free), x.free.Plus(free)
}

// count returns how many tasks of the group's step fit, counted up to most. Tickets are not taken into account. A limit for each worker counts the tasks that ran there at the
// last pass.
func (x *workerRoom) count(g *place.Group, most int) int {
	step := &g.Job.Spec.Steps[g.Step]
	need := place.Charge(step)
	if need.Max(x.largest) != x.largest {
		return 0
	}
	if step.PerWorker > 0 {
		return x.countFits(g, most)
	}
	key := fitKey{need: need, label: step.Label, most: most}
	n, known := x.fits[key]
	if !known {
		n = x.countFits(g, most)
		x.fits[key] = n
	}
	return n
}

func (x *workerRoom) countFits(g *place.Group, most int) int {
	n, alone := 0, place.Group{Job: g.Job, Step: g.Step, OnWorker: g.OnWorker}
	for _, w := range x.workers {
		if n += alone.Fits(&w.candidate); n >= most {
			return most
		}
	}
	return n
}

// unusableCounts counts listed workers that get no starts by the first reason that applies.
type unusableCounts struct {
	silent, unanswered, paused, emptied, trial, unstored, other int
}

func (n *unusableCounts) add(c *session, w *worker, now time.Time) {
	switch {
	case !w.silentSince.IsZero():
		n.silent++
	case !w.answered:
		n.unanswered++
	case now.Before(w.startsPausedUntil):
		n.paused++
	case w.beingEmptied:
		n.emptied++
	case w.hasTrial():
		n.trial++
	case !c.storedIncarnations[w.Incarnation]:
		n.unstored++
	default: // unreadable entries, incarnations that have ended, runs of unknown jobs, and those not listed at the last confirmation
		n.other++
	}
}

// String returns the counts as the fields of a log line.
func (n unusableCounts) String() string {
	return fmt.Sprintf("silent=%d unanswered=%d paused=%d emptied=%d trial=%d unstored=%d other=%d", n.silent, n.unanswered, n.paused, n.emptied, n.trial, n.unstored, n.other)
}
