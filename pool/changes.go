// SPDX-License-Identifier: MIT

package pool

import "rackstep.dev/job"

// changes are the jobs with changes that are not kept, in the order in which they changed first, so that none is passed over
// while others keep changing.
type changes struct {
	rows  map[string]*job.Job
	order []string
}

func (x *changes) add(j *job.Job) {
	if x.rows == nil {
		x.rows = make(map[string]*job.Job)
	}
	if x.rows[j.Spec.ID] == nil {
		x.order = append(x.order, j.Spec.ID)
	}
	x.rows[j.Spec.ID] = j
}

// drop takes a job out; its place in the order goes when its turn comes.
func (x *changes) drop(id string) { delete(x.rows, id) }

func (x *changes) has(id string) bool { return x.rows[id] != nil }

func (x *changes) empty() bool { return len(x.rows) == 0 }

// next takes out the job that changed first, or returns nil.
func (x *changes) next() *job.Job {
	for len(x.order) > 0 {
		id := x.order[0]
		x.order = x.order[1:]
		if j := x.rows[id]; j != nil {
			delete(x.rows, id)
			return j
		}
	}
	x.order = nil
	return nil
}
