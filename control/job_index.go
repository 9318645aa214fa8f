// SPDX-License-Identifier: MIT

package control

import (
	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// jobIndex holds data derived from the jobs that every tick needs. It is rebuilt only when the tables have changed.
type jobIndex struct {
	tables *fleet.Tables
	offset int64
	// occupying holds the jobs that occupy an instance, by data centre and instance; the jobs are shared with the tables.
	occupying map[string]map[string][]*fleet.Job
	// pending reports that a job waits to be placed, urgent that an urgent job does.
	pending, urgent bool
	// relief caches the result of place.Relieve; nil until it is first needed.
	relief *place.Relief
}

// cachedRelief returns the measures against overload of instances, which it computes once per change of the tables.
func (x *jobIndex) cachedRelief() place.Relief {
	if x.relief == nil {
		r := place.Relieve(x.tables)
		x.relief = &r
	}
	return *x.relief
}

// refresh rebuilds the index if the tables have changed.
func (x *jobIndex) refresh(t *fleet.Tables) {
	if x.tables == t && x.offset == t.Offset {
		return
	}
	*x = jobIndex{tables: t, offset: t.Offset, occupying: make(map[string]map[string][]*fleet.Job)}
	for _, j := range t.Jobs.All {
		switch {
		case j.State == fleet.JobPending:
			x.pending = true
			x.urgent = x.urgent || j.Spec.Urgent
		case j.State.Held():
			x.add(t, j)
		}
	}
}

func (x *jobIndex) add(t *fleet.Tables, j *fleet.Job) {
	in := t.Instances.Get(j.Instance)
	if in == nil {
		return
	}
	byInstance := x.occupying[in.DataCentre]
	if byInstance == nil {
		byInstance = make(map[string][]*fleet.Job)
		x.occupying[in.DataCentre] = byInstance
	}
	byInstance[in.ID] = append(byInstance[in.ID], j)
}
