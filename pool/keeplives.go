// SPDX-License-Identifier: MIT

package pool

import (
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// keptLife is what is kept of a life that may have been given work, under its own key: a record of all of them would outgrow what the store takes.
type keptLife struct {
	Machine string `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
}

// keptWorker is the same in the one record of all lives that earlier versions wrote.
type keptWorker struct {
	_                            struct{} `cbor:",toarray"`
	Life, Machine, Pool, Address string
}

// lifeChanged notes that a life has come to the tables or left them, which is to be kept.
func (c *session) lifeChanged(life string) { c.livesDirty.Add(life, struct{}{}) }

// keepLives adds the records of the lives that may be given work and drops those that have left, as far as the batch has room.
func (c *session) keepLives(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	if c.livesDirty.Empty() {
		return records
	}
	if count, err := job.Encode(max(c.sure, c.instances(len(c.lives)))); err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "number of instances not kept: %v", err)
	} else {
		records = append(records, feed.KeyedRecord{Key: instancesKey, Value: count})
	}
	size := sizeOf(records)
	for size < c.batchMost {
		life, _, ok := c.livesDirty.Pop()
		if !ok {
			break
		}
		r, ok := c.lifeRecord(life)
		if !ok {
			continue
		}
		records = append(records, r)
		size += len(r.Key) + len(r.Value)
		if len(r.Value) > 0 {
			done.lives = append(done.lives, life)
		}
	}
	if c.oneRecord && c.livesDirty.Empty() { // all that it held stands in rows now
		records = append(records, feed.KeyedRecord{Key: workersKey})
		c.oneRecord = false
	}
	return records
}

// lifeRecord returns the record of a life, or what drops it once it has left the tables.
func (c *session) lifeRecord(life string) (feed.KeyedRecord, bool) {
	w := c.workers[life]
	if w == nil {
		return feed.KeyedRecord{Key: lifeKey + life}, true
	}
	value, err := job.Encode(keptLife{Machine: w.Machine, Pool: w.Pool, Address: w.Address})
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Instance: life}, "worker not kept: %v", err)
		return feed.KeyedRecord{}, false
	}
	return feed.KeyedRecord{Key: lifeKey + life, Value: value}, true
}

// keptLives lets the lives be given work that are kept; one that has left the tables meanwhile is kept anew if it comes back.
func (c *session) keptLives(lives []string) {
	for _, life := range lives {
		if w := c.workers[life]; w != nil && !c.aside.has(lifeKey+life) {
			c.workersKept[life] = true
			c.dirtyPool(w.Pool)
		}
	}
}

// restoreLives puts the lives into the tables that an earlier leader may have given work, whatever the list says of them.
func (c *session) restoreLives(earlier map[string]keptLife) {
	for life, k := range earlier {
		l := work.ParseLife(life)
		w, over := c.restoredOn(life)
		if w == nil || over {
			w = newWorker(work.Worker{Life: life, ID: l.ID, Birth: l.Birth, Machine: k.Machine, Pool: k.Pool, Address: k.Address}, c.Clock, &c.ledger)
			w.listed = false
			c.addWorker(w)
		}
		c.unheard[w.Life] = w
		c.workersKept[w.Life] = w.Life == life
		if w.Life != life || c.oneRecord {
			c.lifeChanged(life)
			c.lifeChanged(w.Life)
			continue
		}
		c.livesDirty.Remove(life)
	}
}
