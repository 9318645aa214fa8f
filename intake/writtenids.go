// SPDX-License-Identifier: MIT

package intake

import (
	"sync"
	"time"

	"rackstep.dev/job"
)

const (
	// writtenTTL is how long a written ID is remembered, longer than the leader takes to read a job that was written.
	writtenTTL = 10 * time.Second
	// maxWritten bounds the number of remembered IDs. The oldest are forgotten first.
	maxWritten = 4096
)

// writtenIDs remembers the jobs that this entry has written, or may have written, so recently that the leader may not know them yet.
// The zero value is ready to use.
type writtenIDs struct {
	mu    sync.Mutex
	since map[job.QualifiedID]time.Time
	order []writtenID
}

type writtenID struct {
	name job.QualifiedID
	at   time.Time
}

// add records that the job is about to be written.
func (w *writtenIDs) add(name job.QualifiedID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since == nil {
		w.since = make(map[job.QualifiedID]time.Time)
	}
	w.since[name] = now
	w.order = append(w.order, writtenID{name, now})
	for len(w.order) > maxWritten || now.Sub(w.order[0].at) >= writtenTTL {
		if old := w.order[0]; w.since[old.name].Equal(old.at) {
			delete(w.since, old.name)
		}
		w.order = w.order[1:]
	}
}

// has reports whether the job may have been written recently.
func (w *writtenIDs) has(name job.QualifiedID, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.since[name]
	return ok && now.Sub(at) < writtenTTL
}
