// SPDX-License-Identifier: MIT

package pool

import (
	"slices"
	"time"

	"rackstep.dev/admission"
	"rackstep.dev/job"
	"rackstep.dev/place"
)

// minExtraWait is by how much an organisation's wait must exceed the others' to be published.
const minExtraWait = 200 * time.Millisecond

// freshJobs computes the waits of new jobs of a queue.
type freshJobs struct {
	queue    job.Queue
	meanWork float64
	standing place.Standing
	backlog  admission.Backlog
}

// published returns the published form of the queue, and false if no job of it could be refused.
func (f *freshJobs) published(r admission.RunTimes) (admission.Queue, bool) {
	waits := f.waits("")
	q := admission.NewQueue(f.queue.Name, r, f.meanWork, waits)
	refuses := admission.Refuses(waits, f.queue)
	for _, name := range f.standing.Organisations(f.rank(1), admission.MaxOrganisations) {
		own := f.waits(name)
		if slices.Max(own) < slices.Max(waits)+minExtraWait || !admission.Refuses(own, f.queue) {
			continue
		}
		refuses = true
		q.Organisations = append(q.Organisations, admission.Organisation{Name: name, Waits: admission.Millis(own)})
	}
	return q, refuses
}

// waits returns the wait of a new job of the organisation at each level. An empty name stands for one within its share.
func (f *freshJobs) waits(organisation string) []time.Duration {
	var out []time.Duration
	for _, level := range admission.Levels() {
		rank := f.rank(level)
		out = append(out, f.backlog.Wait(rank*f.standing.Factor(organisation, rank)))
	}
	return out
}

// rank returns the expected value of a new job of the level, for each core-second.
func (f *freshJobs) rank(level float64) float64 {
	work := level * f.meanWork
	return place.FreshRank(density(work, work, f.meanWork))
}
