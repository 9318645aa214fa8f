// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"maps"

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
// in its pool when that is taken away.
func (c *session) readEntry(life string, value []byte, known *worker) (work.Worker, error) {
	row, err := c.ParseWorker(life, value)
	if err != nil || known != nil || c.config == nil || len(c.config.Pools) == 0 {
		return row, err
	}
	if _, ok := c.config.Pools[row.Pool]; !ok {
		return row, fmt.Errorf("worker %s: the configuration has no pool %q; add it, or correct the entry", life, row.Pool)
	}
	return row, nil
}

// misread takes an entry that names no worker to use. It proves nothing of a life that is known: nothing new is started
// there, and what runs goes on and is held.
func (c *session) misread(life string, value []byte, known *worker, err error) {
	if known != nil {
		known.misread = true
	}
	if !c.foreign.has(life) && len(c.foreign.entries) < foreignTold {
		c.emit(event.RecordRefused, event.Subject{Instance: life}, "list of workers: known=%t err=%q", known != nil, err)
	}
	c.foreign.put(life, value)
}

// readAgain takes note that an entry can be read.
func (c *session) readAgain(life string, known *worker) {
	if c.foreign.has(life) {
		c.foreign.drop(life)
		c.emit(event.WorkerSeen, event.Subject{Instance: life}, "its entry can be read again")
	}
	if known != nil && known.misread {
		known.misread = false
		c.dirtyPool(known.Pool)
	}
}

// readForeign reads the entries again that named no worker, after the configuration has changed.
func (c *session) readForeign() {
	for life, value := range maps.Clone(c.foreign.entries) {
		if c.workers[life] != nil {
			continue // it is its entry that can't be read
		}
		if w := c.listWorker(life, value); w != nil {
			c.startHolds(w)
		}
	}
}
