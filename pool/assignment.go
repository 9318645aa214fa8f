// SPDX-License-Identifier: MIT

package pool

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/place"
)

// Parameters of the assignment of jobs to data centres.
const (
	// minAssignedWorkers is the number of usable workers that a data centre needs in a pool to be added to its assignment. With fewer, the
	// jobs assigned to it would find no free capacity there while other data centres have some.
	minAssignedWorkers = 3
	// assignmentInterval is the minimum time between two changes of the assignment, each of which is stored.
	assignmentInterval = time.Second
)

// centresByPool holds the data centres to which the jobs of each pool are assigned, in a fixed order.
//
// A start that leaves before it is stored is sent only to a worker in the data centre to which its job is assigned. The next leader
// then knows for which jobs a worker that does not answer can have such a run. The jobs of a pool that is not in the map may be
// started anywhere.
type centresByPool map[string][]string

// centreOf returns the data centre to which a job of the pool is assigned, and false if it may be started anywhere.
func (a centresByPool) centreOf(pool, jobID string) (string, bool) {
	centres := a[pool]
	if len(centres) == 0 {
		return "", false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(jobID)) // hash.Hash never returns an error
	return centres[h.Sum32()%uint32(len(centres))], true
}

// allows reports whether a job of the pool may be started in the data centre before the start is stored.
func (a centresByPool) allows(pool, jobID, dataCentre string) bool {
	centre, assigned := a.centreOf(pool, jobID)
	return !assigned || centre == dataCentre
}

// storedAssignment is the stored form of an assignment, for the successor of the leader of the term.
type storedAssignment struct {
	Term    int64         `cbor:"1,keyasint"`
	Centres centresByPool `cbor:"2,keyasint,omitempty"`
}

// assignment is this leader's assignment of jobs to data centres, and that of its predecessor.
type assignment struct {
	// stored is in the store. pending is in the batch in flight, so that it may be in the store. Both are obeyed.
	stored, pending centresByPool
	// wanted is to be stored. It is nil if there is no change.
	wanted    centresByPool
	changedAt time.Time
	// predecessor is what the last leader obeyed, or nil if an unstored run may be anywhere.
	predecessor centresByPool
}

// allows reports whether this leader may start a job of the pool in the data centre before the start is stored.
func (a *assignment) allows(pool, jobID, dataCentre string) bool {
	return a.stored.allows(pool, jobID, dataCentre) && a.pending.allows(pool, jobID, dataCentre)
}

// restoreAssignment restores the assignment of the last leader. It says nothing about the leaders before that one, so it is used only if
// none of those can have unstored runs.
func (c *session) restoreAssignment(r feed.KeyedRecord) {
	var kept storedAssignment
	if !c.decodeRecord(r, &kept) || kept.Term != c.term.Number-1 || !c.term.OnlyLastUnstored {
		return
	}
	c.assignment.predecessor = kept.Centres
}

// updateAssignment adapts the assignment to the workers of the pools. It changes nothing while unstored runs may exist: the store would
// then hold an assignment that they did not obey.
func (c *session) updateAssignment(now time.Time) {
	a := &c.assignment
	if a.wanted != nil || a.pending != nil || c.mayHaveUnstored() || now.Sub(a.changedAt) < assignmentInterval {
		return
	}
	next := c.assignCentres(a.stored)
	if a.changedAt.IsZero() || !maps.EqualFunc(next, a.stored, slices.Equal) {
		a.wanted, a.changedAt = next, now
	}
}

// assignCentres returns the assignment for the present workers. A pool keeps its data centres as long as each has a usable worker and no
// other one has enough of them, so that few changes have to be stored.
func (c *session) assignCentres(current centresByPool) centresByPool {
	workers := make(map[string]map[string]int)
	for _, w := range c.workers {
		if !w.listed || w.Leaving || w.drained || w.DataCentre == "" {
			continue
		}
		if workers[w.Pool] == nil {
			workers[w.Pool] = make(map[string]int)
		}
		workers[w.Pool][w.DataCentre]++
	}
	next := make(centresByPool)
	for name, byCentre := range workers {
		if centres := assignableCentres(byCentre, current[name]); len(centres) > 1 {
			next[name] = centres
		}
	}
	return next
}

// assignableCentres returns the data centres of a pool that get jobs assigned, given its usable workers by data centre and its current
// data centres.
func assignableCentres(workers map[string]int, current []string) []string {
	var centres []string
	for name, n := range workers {
		if n >= minAssignedWorkers || (n > 0 && slices.Contains(current, name)) {
			centres = append(centres, name)
		}
	}
	slices.Sort(centres)
	return centres
}

// mayHaveUnstored reports whether this leader has ordered, or may order, starts that are not stored.
func (c *session) mayHaveUnstored() bool { return c.inMode(modeStoreSlow) || len(c.unstoredJobs) > 0 }

// appendAssignment appends the record of the assignment to a batch if it has changed. A change that was decided before an outage is
// dropped: a batch may hold it without all the runs that were ordered in the outage, which obeyed the earlier assignment.
func (c *session) appendAssignment(records []feed.KeyedRecord) []feed.KeyedRecord {
	a := &c.assignment
	if c.mayHaveUnstored() {
		a.wanted = nil
	}
	if a.wanted == nil {
		return records
	}
	value, err := job.Encode(storedAssignment{Term: c.term.Number, Centres: a.wanted})
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "assignment not stored: %v", err)
		a.wanted = nil
		return records
	}
	a.pending, a.wanted = a.wanted, nil
	return append(records, feed.KeyedRecord{Key: assignmentKey, Value: value})
}

// assignmentStored records that the store has accepted the assignment of the last batch. If the store rejects its record for good, the
// earlier one remains in the store and both are obeyed.
func (c *session) assignmentStored() {
	a := &c.assignment
	if a.pending == nil || c.aside.has(assignmentKey) {
		return
	}
	a.stored, a.pending = a.pending, nil
}

// mayStartUnstored reports whether a planned start may leave before it is stored.
func (c *session) mayStartUnstored(p plannedStart) bool {
	return c.assignment.allows(p.worker.Pool, p.task.Job.Spec.ID, p.worker.DataCentre)
}

// chooseWorkers chooses workers for the tasks of the groups. While starts leave before they are stored, a group gets only candidates in the
// data centre to which its job is assigned. Groups of different data centres then share no candidate, but the draft: the data centres are
// served in the order of their names.
func (c *session) chooseWorkers(pool string, groups []*place.Group, candidates []*place.Candidate, draft *org.Draft) []place.Choice {
	a := &c.assignment
	if !c.inMode(modeUnkeptOrders) || len(a.stored[pool])+len(a.pending[pool]) == 0 {
		return place.Tasks(groups, candidates, draft)
	}
	candidatesIn := make(map[string][]*place.Candidate)
	for _, x := range candidates {
		candidatesIn[x.Worker.DataCentre] = append(candidatesIn[x.Worker.DataCentre], x)
	}
	groupsIn := make(map[string][]*place.Group)
	for _, g := range groups {
		for centre := range candidatesIn {
			if a.allows(pool, g.Job.Spec.ID, centre) {
				groupsIn[centre] = append(groupsIn[centre], g)
			}
		}
	}
	var choices []place.Choice
	for _, centre := range slices.Sorted(maps.Keys(groupsIn)) {
		choices = append(choices, place.Tasks(groupsIn[centre], candidatesIn[centre], draft)...)
	}
	return choices
}
