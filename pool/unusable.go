// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"maps"
	"slices"

	"rackstep.dev/event"
	"rackstep.dev/work"
)

// Limits for unusable entries of the list of workers, which another writer may produce by the thousand.
const (
	maxUnusable       = 4096
	maxUnusableEvents = 100
)

// unusableEntries holds the entries of the list of workers that do not describe a usable worker, by key: the value can't be parsed, required fields are missing, or
// the pool is not in the configuration yet. The zero value is empty.
type unusableEntries struct{ entries map[string][]byte }

func (f *unusableEntries) has(incarnation string) bool { return f.entries[incarnation] != nil }

// put stores an entry unless maxUnusable is reached.
func (f *unusableEntries) put(incarnation string, value []byte) {
	if f.entries == nil {
		f.entries = make(map[string][]byte)
	}
	if f.has(incarnation) || len(f.entries) < maxUnusable {
		f.entries[incarnation] = value
	}
}

func (f *unusableEntries) drop(incarnation string) { delete(f.entries, incarnation) }

// parseEntry parses an entry of the list of workers. A new incarnation must name a pool of the configuration; a known one stays in its pool when the pool is removed. Once a
// worker has reported a boot ID, an entry without one must come from another writer and is an error.
func (c *session) parseEntry(id string, value []byte) (work.Worker, error) {
	row, err := c.ParseWorker(id, value)
	if err != nil {
		return row, err
	}
	row.ID = id
	row.Incarnation = work.Incarnation{ID: id, BootID: row.BootID}.String()
	if row.BootID == 0 && slices.ContainsFunc(c.incarnationsWithID(id), func(w *worker) bool { return w.BootID != 0 }) {
		return row, fmt.Errorf("worker %s: the entry has no birth, but the worker reports one; the writer of the entry must correct it", id)
	}
	if c.workers[row.Incarnation] != nil || c.config == nil || len(c.config.Pools) == 0 {
		return row, nil
	}
	if _, ok := c.config.Pools[row.Pool]; !ok {
		return row, fmt.Errorf("worker %s: the configuration has no pool %q; add it, or correct the entry", id, row.Pool)
	}
	return row, nil
}

// rejectEntry records an entry that does not describe a usable worker. It says nothing about an incarnation that is already known: nothing new is started there, while
// its runs go on and are held.
func (c *session) rejectEntry(id string, value []byte, err error) {
	known := c.incarnationsWithID(id)
	for _, w := range known {
		w.unreadable = true
	}
	if !c.unusable.has(id) && len(c.unusable.entries) < maxUnusableEvents {
		c.emit(event.RecordRefused, event.Subject{Instance: id}, "list of workers: known=%t err=%q", len(known) > 0, err)
	}
	c.unusable.put(id, value)
}

// acceptEntry records that the entry with the given ID is usable again.
func (c *session) acceptEntry(id string) {
	if c.unusable.has(id) {
		c.unusable.drop(id)
		c.emit(event.WorkerSeen, event.Subject{Instance: id}, "its entry can be read again")
	}
	for _, w := range c.incarnationsWithID(id) {
		if w.unreadable {
			w.unreadable = false
			c.markPoolDirty(w.Pool)
		}
	}
}

// retryUnusable parses the unusable entries of unknown workers again after a change of the configuration.
func (c *session) retryUnusable() {
	for id, value := range maps.Clone(c.unusable.entries) {
		if len(c.incarnationsWithID(id)) > 0 {
			continue // this is the unusable entry of a known worker
		}
		if w := c.applyWorkerRecord(id, value); w != nil {
			c.startHolds(w)
		}
	}
}
