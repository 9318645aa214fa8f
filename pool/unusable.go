// SPDX-License-Identifier: MIT

package pool

import (
	"errors"
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
	// maxUnusableBytes bounds the values that are held to be parsed again, and maxUnusableText the length of an error in an event: a value may have
	// as many bytes as the store accepts in a record.
	maxUnusableBytes = 1 << 20
	maxUnusableText  = 300
)

// unusableEntries holds the entries of the list of workers that do not describe a usable worker, by key: the value can't be parsed, required fields are missing, or
// the pool is not in the configuration yet. The zero value is empty.
type unusableEntries struct {
	// entries holds the values, or nil for those that no change of the configuration makes usable or that are beyond maxUnusableBytes. bytes is the
	// sum of their lengths.
	entries map[string][]byte
	bytes   int
}

func (f *unusableEntries) has(id string) bool {
	_, ok := f.entries[id]
	return ok
}

// put stores an entry unless maxUnusable is reached. The value is nil if it need not be parsed again.
func (f *unusableEntries) put(id string, value []byte) {
	if f.entries == nil {
		f.entries = make(map[string][]byte)
	}
	f.drop(id)
	if len(f.entries) >= maxUnusable {
		return
	}
	if f.bytes+len(value) > maxUnusableBytes {
		value = nil
	}
	f.entries[id] = value
	f.bytes += len(value)
}

func (f *unusableEntries) drop(id string) {
	f.bytes -= len(f.entries[id])
	delete(f.entries, id)
}

// errUnknownPool means that an entry names a pool that the configuration does not have.
var errUnknownPool = errors.New("the configuration has no pool")

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
		return row, fmt.Errorf("worker %s: %w %q; add it, or correct the entry", id, errUnknownPool, row.Pool)
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
		text := err.Error()
		c.emit(event.RecordRefused, event.Subject{Instance: id}, "list of workers: known=%t err=%q", len(known) > 0, text[:min(len(text), maxUnusableText)])
	}
	if !errors.Is(err, errUnknownPool) {
		value = nil
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
		if value == nil || len(c.incarnationsWithID(id)) > 0 {
			continue // it stays unusable, or is the entry of a known worker
		}
		if w := c.applyWorkerRecord(id, value); w != nil {
			c.startHolds(w)
		}
	}
}
