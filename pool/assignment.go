// SPDX-License-Identifier: MIT

package pool

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/place"
)

// Parameters of the assignment of tasks to workers.
const (
	// assignmentInterval is the time between two comparisons of the assignment with the workers. Each change is stored.
	assignmentInterval = time.Second
	// assignmentSlack is the share of a pool's assigned workers, at least one, that may be unusable, and of its usable workers that may be unassigned, before
	// the assignment of the pool changes. It limits how often moves of instances rewrite the record.
	assignmentSlack = 1.0 / 8
	// assignedShare divides the capacity of the smallest worker to give the most that an assigned task may need. A larger task might find no capacity on its worker
	// for long.
	assignedShare = 3
)

// poolAssignment assigns the tasks of a pool to workers. It is stored as it is.
//
// A start that leaves before it is stored is sent only to the worker to which its task is assigned. A later leader then knows which worker, and which later
// incarnation under the worker's ID, may still carry out such a start.
type poolAssignment struct {
	// Workers holds the IDs of the workers in a fixed order, those of one data centre after the other.
	Workers [][]string `cbor:"1,keyasint,omitempty"`
	// MilliCPU and MemoryMB are the most that an assigned task needs.
	MilliCPU int `cbor:"2,keyasint,omitempty"`
	MemoryMB int `cbor:"3,keyasint,omitempty"`
	// Advised holds the queues whose tasks are not assigned, because the advice service decides which workers may run them.
	Advised []string `cbor:"4,keyasint,omitempty"`
}

// covers reports whether the tasks of a step of a queue's job are assigned, if the pool has workers.
func (a poolAssignment) covers(s *job.Step, queue string) bool {
	need := place.Charge(s)
	return need.MilliCPU <= a.MilliCPU && need.MemoryMB <= a.MemoryMB && need.GPU <= 0 && !slices.Contains(a.Advised, queue)
}

// workerOf returns the ID of the worker to which a task is assigned, or an empty string if it is assigned to none.
//
// The tasks of a job are assigned to one data centre: if another one is cut off, the whole job goes on.
func (a poolAssignment) workerOf(t *job.Task) string {
	if !a.covers(t.Spec(), t.Job.Spec.Queue) {
		return ""
	}
	workers := a.centreOf(t.Job.Spec.ID)
	if len(workers) == 0 {
		return ""
	}
	return workers[hashIndex(t.Name(), len(workers))]
}

// centreOf returns the workers of the data centre to which a job is assigned. A data centre gets as large a share of the jobs as it has of the workers.
func (a poolAssignment) centreOf(jobID string) []string {
	total := 0
	for _, workers := range a.Workers {
		total += len(workers)
	}
	if total == 0 {
		return nil
	}
	i := hashIndex(jobID, total)
	for _, workers := range a.Workers {
		if i < len(workers) {
			return workers
		}
		i -= len(workers)
	}
	return nil
}

// all returns the IDs of all workers in ascending order.
func (a poolAssignment) all() []string {
	all := slices.Concat(a.Workers...)
	slices.Sort(all)
	return all
}

// hashIndex returns an index below n that follows from the text alone.
func hashIndex(text string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // hash.Hash never returns an error
	return int(h.Sum32() % uint32(n))
}

// assignment is the assignment of tasks to workers, by pool. It outlives leaders: it must not change while any leader's unstored starts may be carried out.
type assignment struct {
	// stored is in the store. pending holds the pools whose change is in the batch in flight, so that it may be in the store. Both are obeyed.
	stored, pending map[string]poolAssignment
	// atTakeover holds the pools that had an assignment when the tables were read. An earlier leader sent no unstored starts in others,
	// unless its version did not store assignments.
	atTakeover map[string]bool
	// wanted holds the pools whose change is to be stored.
	wanted    map[string]poolAssignment
	checkedAt time.Time
}

// workerOf returns the ID of the worker to which a task is assigned, or an empty string if there is none or if a change in flight makes it uncertain. The pool is the one that
// the job was submitted for, whatever its queue's pool is now.
func (a *assignment) workerOf(t *job.Task) string {
	pool := t.Job.Spec.Pool
	worker := a.stored[pool].workerOf(t)
	if next, changing := a.pending[pool]; changing && next.workerOf(t) != worker {
		return ""
	}
	return worker
}

// restoreAssignment restores the assignment of a pool.
func (c *session) restoreAssignment(r feed.KeyedRecord) {
	var kept poolAssignment
	if c.decodeRecord(r, &kept) {
		pool := strings.TrimPrefix(r.Key, assignmentKey)
		c.assignment.stored[pool], c.assignment.atTakeover[pool] = kept, true
	}
}

// updateAssignment adapts the assignment to the workers of the pools. It changes nothing while unstored starts of this or an earlier leader may be carried out, because
// the store would then hold an assignment that they did not obey. A pool without an assignment has no such starts of an earlier leader.
func (c *session) updateAssignment(now time.Time) {
	a := &c.assignment
	if len(a.wanted) > 0 || len(a.pending) > 0 || now.Sub(a.checkedAt) < assignmentInterval {
		return
	}
	if c.mayHaveUnstored() {
		return
	}
	a.checkedAt = now
	a.wanted = changedPools(a.stored, c.assignable())
	if c.earlierStartsPossible(now) {
		maps.DeleteFunc(a.wanted, func(pool string, _ poolAssignment) bool { return len(a.stored[pool].Workers) > 0 })
	}
}

// assignable returns the assignment of each pool to all of its usable workers.
func (c *session) assignable() map[string]poolAssignment {
	pools := make(map[string]poolAssignment)
	centres := make(map[string]map[string][]string)
	advised := c.advisedQueues()
	for _, w := range c.workers {
		if !w.listed || w.Leaving || w.drained {
			continue
		}
		cpu, memory := w.Capacity.MilliCPU/assignedShare, w.Capacity.MemoryMB/assignedShare
		if a, known := pools[w.Pool]; known {
			cpu, memory = min(cpu, a.MilliCPU), min(memory, a.MemoryMB)
		}
		pools[w.Pool] = poolAssignment{MilliCPU: cpu, MemoryMB: memory, Advised: advised[w.Pool]}
		if centres[w.Pool] == nil {
			centres[w.Pool] = make(map[string][]string)
		}
		centres[w.Pool][w.DataCentre] = append(centres[w.Pool][w.DataCentre], w.ID)
	}
	for pool, a := range pools {
		a.Workers = orderedWorkers(centres[pool])
		pools[pool] = a
	}
	return pools
}

// advisedQueues returns the queues with an advice service by pool, in ascending order.
func (c *session) advisedQueues() map[string][]string {
	queues := make(map[string][]string)
	if c.config == nil {
		return queues
	}
	for _, name := range slices.Sorted(maps.Keys(c.config.Queues)) {
		if q := c.config.Queues[name]; q.Advice != nil {
			queues[q.Pool] = append(queues[q.Pool], name)
		}
	}
	return queues
}

// orderedWorkers returns the workers by data centre in a fixed order.
func orderedWorkers(byCentre map[string][]string) [][]string {
	var out [][]string
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		workers := byCentre[centre]
		slices.Sort(workers)
		out = append(out, slices.Compact(workers)) // two incarnations may be listed under an ID
	}
	return out
}

// changedPools returns the new assignment of each pool whose current one differs too much from its usable workers.
func changedPools(current, usable map[string]poolAssignment) map[string]poolAssignment {
	changed := make(map[string]poolAssignment)
	for pool, a := range usable {
		if !closeTo(current[pool].all(), a.all()) || !slices.Equal(current[pool].Advised, a.Advised) {
			changed[pool] = a
		}
	}
	for pool, a := range current {
		if len(a.Workers) > 0 && len(usable[pool].Workers) == 0 {
			changed[pool] = poolAssignment{}
		}
	}
	return changed
}

// closeTo reports whether the assigned workers may remain, given the usable ones. Both are sorted.
func closeTo(assigned, usable []string) bool {
	if len(assigned) == 0 {
		return len(usable) == 0
	}
	both := 0
	for _, id := range assigned {
		if _, found := slices.BinarySearch(usable, id); found {
			both++
		}
	}
	return withinSlack(len(assigned)-both, len(assigned)) && withinSlack(len(usable)-both, len(usable))
}

// withinSlack reports whether n of total workers are few enough to leave the assignment as it is.
func withinSlack(n, total int) bool {
	return n < total && float64(n) <= max(assignmentSlack*float64(total), 1)
}

// mayHaveUnstored reports whether this leader has ordered, or may order, starts that are not stored.
func (c *session) mayHaveUnstored() bool { return c.inMode(modeStoreSlow) || len(c.unstoredJobs) > 0 }

// appendAssignment appends the records of the pools whose assignment has changed to a batch. A change that was decided before an outage is dropped: a batch may
// hold it without all the runs that were ordered in the outage, which obeyed the earlier assignment.
func (c *session) appendAssignment(records []feed.KeyedRecord) []feed.KeyedRecord {
	a := &c.assignment
	if c.mayHaveUnstored() {
		a.wanted = nil
	}
	if len(a.wanted) == 0 {
		return records
	}
	a.pending, a.wanted = a.wanted, nil
	for pool, next := range a.pending {
		r := feed.KeyedRecord{Key: assignmentKey + pool}
		if len(next.Workers) > 0 {
			value, err := job.Encode(next)
			if err != nil {
				c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "assignment of pool %q not stored: %v", pool, err)
				delete(a.pending, pool)
				continue
			}
			r.Value = value
		}
		records = append(records, r)
	}
	return records
}

// assignmentStored records that the store has accepted the assignment of the last batch. If the store rejects the record of a pool for good, the earlier one remains
// in force, and the record is tried again with the next comparison.
func (c *session) assignmentStored() {
	a := &c.assignment
	for pool, next := range a.pending {
		if !c.aside.has(assignmentKey + pool) {
			a.stored[pool] = next
		}
	}
	a.pending = nil
}
