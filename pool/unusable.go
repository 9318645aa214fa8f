// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"maps"
	"slices"

	"rackstep.dev/event"
	"rackstep.dev/work"
)

// Bounds of what is kept and told of entries that name no worker; another writer may write thousands.
const (
	foreignMost = 4096
	foreignTold = 100
)

// foreign holds the entries of the list of workers that name no worker to use, by key: their bytes can't be read, they lack
// what is needed, or their pool is in no configuration yet. The zero value is empty.
type foreign struct{ entries map[string][]byte }

func (f *foreign) has(life string) bool { return f.entries[life] != nil }

// put keeps an entry, as far as there is room.
func (f *foreign) put(life string, value []byte) {
	if f.entries == nil {
		f.entries = make(map[string][]byte)
	}
	if f.has(life) || len(f.entries) < foreignMost {
		f.entries[life] = value
	}
}

func (f *foreign) drop(life string) { delete(f.entries, life) }

// readEntry reads an entry of the list. One of a life that is not known must name a pool of the configuration; a known one stays
// in its pool when that is taken away. Where a worker has told a birth, an entry without one is another writer's.
func (c *session) readEntry(id string, value []byte) (work.Worker, error) {
	row, err := c.ParseWorker(id, value)
	if err != nil {
		return row, err
	}
	row.ID = id
	row.Life = work.Life{ID: id, Birth: row.Birth}.String()
	if row.Birth == 0 && slices.ContainsFunc(c.bearing(id), func(w *worker) bool { return w.Birth != 0 }) {
		return row, fmt.Errorf("worker %s: its entry tells no birth, and the worker does; its writer must correct the entry", id)
	}
	if c.workers[row.Life] != nil || c.config == nil || len(c.config.Pools) == 0 {
		return row, nil
	}
	if _, ok := c.config.Pools[row.Pool]; !ok {
		return row, fmt.Errorf("worker %s: the configuration has no pool %q; add it, or correct the entry", id, row.Pool)
	}
	return row, nil
}

// misread takes an entry that names no worker to use. It proves nothing of a life that is known: nothing new is started
// there, and what runs goes on and is held.
func (c *session) misread(id string, value []byte, err error) {
	known := c.bearing(id)
	for _, w := range known {
		w.misread = true
	}
	if !c.foreign.has(id) && len(c.foreign.entries) < foreignTold {
		c.emit(event.RecordRefused, event.Subject{Instance: id}, "list of workers: known=%t err=%q", len(known) > 0, err)
	}
	c.foreign.put(id, value)
}

// readAgain takes note that an entry can be read.
func (c *session) readAgain(id string) {
	if c.foreign.has(id) {
		c.foreign.drop(id)
		c.emit(event.WorkerSeen, event.Subject{Instance: id}, "its entry can be read again")
	}
	for _, w := range c.bearing(id) {
		if w.misread {
			w.misread = false
			c.dirtyPool(w.Pool)
		}
	}
}

// readForeign reads the entries again that named no worker, after the configuration has changed.
func (c *session) readForeign() {
	for id, value := range maps.Clone(c.foreign.entries) {
		if len(c.bearing(id)) > 0 {
			continue // it is its entry that can't be read
		}
		if w := c.listWorker(id, value); w != nil {
			c.startHolds(w)
		}
	}
}
