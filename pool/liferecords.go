// SPDX-License-Identifier: MIT

package pool

import (
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// keptLife is the stored record of a life that may have been given work. Each life has its own key, because a single
// record of all lives would exceed the size limit of the store.
type keptLife struct {
	Machine string `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
}

// keptWorker is an element of the single record of all lives that earlier versions wrote.
type keptWorker struct {
	_                            struct{} `cbor:",toarray"`
	Life, Machine, Pool, Address string
}

// markLifeDirty marks a life that was added to the tables or removed from them, so that its record is written or
// deleted.
func (c *session) markLifeDirty(life string) { c.dirtyLives.Add(life, struct{}{}) }

// appendLifeRecords appends the records of the changed lives, as far as the batch has room: new values, and deletions
// of lives that have left.
func (c *session) appendLifeRecords(done *commitBatch, records []feed.KeyedRecord) []feed.KeyedRecord {
	if c.dirtyLives.Empty() {
		return records
	}
	if count, err := job.Encode(max(c.confirmedInstances, c.instanceCount(len(c.livesByMachine)))); err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "number of instances can't be encoded: %v", err)
	} else {
		records = append(records, feed.KeyedRecord{Key: instancesKey, Value: count})
	}
	size := recordsSize(records)
	for size < c.maxBatchBytes {
		life, _, ok := c.dirtyLives.Pop()
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
	if c.legacyWorkersRecord && c.dirtyLives.Empty() { // everything in it has its own record now
		records = append(records, feed.KeyedRecord{Key: workersKey})
		c.legacyWorkersRecord = false
	}
	return records
}

// lifeRecord returns the record of a life, or its deletion if the life has left the tables.
func (c *session) lifeRecord(life string) (feed.KeyedRecord, bool) {
	w := c.workers[life]
	if w == nil {
		return feed.KeyedRecord{Key: lifeKey + life}, true
	}
	value, err := job.Encode(keptLife{Machine: w.Machine, Pool: w.Pool, Address: w.Address})
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Instance: life}, "worker record can't be encoded: %v", err)
		return feed.KeyedRecord{}, false
	}
	return feed.KeyedRecord{Key: lifeKey + life, Value: value}, true
}

// markLivesStored allows work on the lives whose records have been stored. A life that has left the tables meanwhile
// is stored again if it comes back.
func (c *session) markLivesStored(lives []string) {
	for _, life := range lives {
		if w := c.workers[life]; w != nil && !c.aside.has(lifeKey+life) {
			c.storedLives[life] = true
			c.markPoolDirty(w.Pool)
		}
	}
}

// restoreLives adds the lives to the tables that may have been given work by an earlier leader, whether or not they
// are listed.
func (c *session) restoreLives(earlier map[string]keptLife) {
	for life, k := range earlier {
		l := work.ParseLife(life)
		w, ended := c.restoredRow(life)
		if w == nil || ended {
			w = newWorker(work.Worker{Life: life, ID: l.ID, Birth: l.Birth, Machine: k.Machine, Pool: k.Pool, Address: k.Address}, c.Clock, &c.ledger)
			w.listed = false
			c.addWorker(w)
		}
		c.uncertainLives[w.Life] = w
		c.storedLives[w.Life] = w.Life == life
		if w.Life != life || c.legacyWorkersRecord {
			c.markLifeDirty(life)
			c.markLifeDirty(w.Life)
			continue
		}
		c.dirtyLives.Remove(life)
	}
}
