// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/work"
)

// keptIncarnation is the stored record of an incarnation that may have been given work. Each incarnation has its own key, because a single
// record of all incarnations would exceed the size limit of the store.
type keptIncarnation struct {
	Machine string `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint,omitempty"`
	// LastMachine and LastPool replace Machine and Pool once the incarnation has ended. Earlier versions do not know them, and must take it for ended too.
	LastMachine string `cbor:"4,keyasint,omitempty"`
	LastPool    string `cbor:"5,keyasint,omitempty"`
}

// ended reports whether the incarnation has ended. Its record says only that starts may have been sent to its worker ID, and on which instance it was.
func (k keptIncarnation) ended() bool { return k.Machine == "" && k.Pool == "" && k.Address == "" }

// keptWorker is an element of the single record of all incarnations that earlier versions wrote.
type keptWorker struct {
	_                                   struct{} `cbor:",toarray"`
	Incarnation, Machine, Pool, Address string
}

// markIncarnationDirty marks an incarnation that was added to the tables or removed from them, so that its record is written or
// deleted.
func (c *session) markIncarnationDirty(incarnation string) {
	c.dirtyIncarnations.Add(incarnation, struct{}{})
}

// appendIncarnationRecords appends the records of the changed incarnations, as far as the batch has room: new values, and deletions
// of incarnations that have left.
func (c *session) appendIncarnationRecords(done *commitBatch, records []feed.KeyedRecord) []feed.KeyedRecord {
	if c.dirtyIncarnations.Empty() {
		return records
	}
	if count, err := job.Encode(max(c.confirmedInstances, c.instanceCount(len(c.incarnationsByMachine)))); err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "number of instances can't be encoded: %v", err)
	} else {
		records = append(records, feed.KeyedRecord{Key: instancesKey, Value: count})
	}
	size := recordsSize(records)
	keepEnded := c.keepsEndedIncarnations(c.now())
	for size < c.maxBatchBytes {
		incarnation, _, ok := c.dirtyIncarnations.Pop()
		if !ok {
			break
		}
		r, ok := c.incarnationRecord(incarnation, keepEnded)
		if !ok {
			continue
		}
		records = append(records, r)
		size += len(r.Key) + len(r.Value)
		if c.workers[incarnation] != nil {
			done.incarnations = append(done.incarnations, incarnation)
		}
	}
	if c.legacyWorkersRecord && c.dirtyIncarnations.Empty() { // everything in it has its own record now
		records = append(records, feed.KeyedRecord{Key: workersKey})
		c.legacyWorkersRecord = false
	}
	return records
}

// keepsEndedIncarnations reports whether ended incarnations keep a record in the store. The next leader looks for unstored starts only at the worker IDs that have one.
func (c *session) keepsEndedIncarnations(now time.Time) bool {
	return c.bootIDsKnown && (c.mayHaveUnstored() || c.earlierStartsPossible(now))
}

// dropKeptIncarnations has the records of ended incarnations deleted that were kept while unstored starts could be carried out.
func (c *session) dropKeptIncarnations(now time.Time) {
	if len(c.keptIncarnations) == 0 || c.keepsEndedIncarnations(now) {
		return
	}
	for incarnation := range c.keptIncarnations {
		c.markIncarnationDirty(incarnation)
	}
	clear(c.keptIncarnations)
}

// incarnationRecord returns the record of an incarnation. That of one that has left the tables is its deletion, unless ended incarnations keep a record and a later one
// may have its ID.
func (c *session) incarnationRecord(incarnation string, keepEnded bool) (feed.KeyedRecord, bool) {
	w := c.workers[incarnation]
	if w == nil && (!keepEnded || c.retiredIDs[work.ParseIncarnation(incarnation).ID]) {
		return feed.KeyedRecord{Key: incarnationKey + incarnation}, true
	}
	var k keptIncarnation
	if w != nil {
		k = keptIncarnation{Machine: w.Machine, Pool: w.Pool, Address: w.Address}
	} else {
		c.keptIncarnations[incarnation] = true
		k.LastMachine, k.LastPool = c.placeOfDeparted(work.ParseIncarnation(incarnation).ID)
	}
	value, err := job.Encode(k)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Instance: incarnation}, "worker record can't be encoded: %v", err)
		return feed.KeyedRecord{}, false
	}
	return feed.KeyedRecord{Key: incarnationKey + incarnation, Value: value}, true
}

// markIncarnationsStored allows work on the incarnations whose records have been stored. An incarnation that has left the tables meanwhile
// is stored again if it comes back.
func (c *session) markIncarnationsStored(incarnations []string) {
	for _, incarnation := range incarnations {
		if w := c.workers[incarnation]; w != nil && !c.aside.has(incarnationKey+incarnation) {
			c.storedIncarnations[incarnation] = true
			c.markPoolDirty(w.Pool)
		}
	}
}

// restoreIncarnations adds the incarnations to the tables that may have been given work by an earlier leader, whether or not they
// are listed.
func (c *session) restoreIncarnations(earlier map[string]keptIncarnation) {
	for incarnation, k := range earlier {
		l := work.ParseIncarnation(incarnation)
		c.orderableIDs[l.ID] = true
		if k.ended() {
			c.keptIncarnations[incarnation] = true
			if k.LastMachine != "" {
				c.departed[k.LastMachine] = append(c.departed[k.LastMachine], departedWorker{id: l.ID, pool: k.LastPool, listedSince: c.now()})
			}
			continue
		}
		w, ended := c.restoredRow(incarnation)
		if w == nil || ended {
			w = newWorker(work.Worker{Incarnation: incarnation, ID: l.ID, BootID: l.BootID, Machine: k.Machine, Pool: k.Pool, Address: k.Address}, c.Clock, &c.ledger)
			w.listed = false
			c.addWorker(w)
		}
		c.uncertainIncarnations[w.Incarnation] = w
		c.storedIncarnations[w.Incarnation] = w.Incarnation == incarnation
		if w.Incarnation != incarnation || c.legacyWorkersRecord {
			c.markIncarnationDirty(incarnation)
			c.markIncarnationDirty(w.Incarnation)
			continue
		}
		c.dirtyIncarnations.Remove(incarnation)
	}
}
