// SPDX-License-Identifier: MIT

package control

import (
	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// jobIndex is what ticks need of the jobs, worked out again only when the tables have changed.
type jobIndex struct {
	tables *fleet.Tables
	offset int64
	// held are the jobs that hold something, by data centre and instance; they are rows of the tables.
	held map[string]map[string][]*fleet.Job
	// pending says that a job waits to be placed, urgent that an urgent one does.
	pending, urgent bool
	// relief is what is to be done where too much is in use; nil until somebody asks.
	relief *place.Relief
}

// reliefOf returns what is to be done where too much is in use.
func (x *jobIndex) reliefOf() place.Relief {
	if x.relief == nil {
		r := place.Relieve(x.tables)
		x.relief = &r
	}
	return *x.relief
}

// refresh follows the tables.
func (x *jobIndex) refresh(t *fleet.Tables) {
	if x.tables == t && x.offset == t.Offset {
		return
	}
	*x = jobIndex{tables: t, offset: t.Offset, held: make(map[string]map[string][]*fleet.Job)}
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
	centre := x.held[in.DataCentre]
	if centre == nil {
		centre = make(map[string][]*fleet.Job)
		x.held[in.DataCentre] = centre
	}
	centre[in.ID] = append(centre[in.ID], j)
}
