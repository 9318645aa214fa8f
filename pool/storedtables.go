// SPDX-License-Identifier: MIT

package pool

import (
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// storedTables are the stored rows that a new leader needs together, by job ID or incarnation. Other records are restored one by one.
type storedTables struct {
	states       map[string]job.Stored
	lost         map[string][]job.StoredLost
	late         map[string][]job.StoredLate
	settled      map[string][]int64
	incarnations map[string]keptIncarnation
}

// readStored decodes the records of the state topic.
func (c *session) readStored(page feed.KeyedPage, now time.Time) storedTables {
	s := storedTables{
		states: make(map[string]job.Stored), lost: make(map[string][]job.StoredLost), late: make(map[string][]job.StoredLate),
		settled: make(map[string][]int64), incarnations: make(map[string]keptIncarnation),
	}
	for _, r := range page.Records {
		switch {
		case strings.HasPrefix(r.Key, stateKey):
			if id := r.Key[len(stateKey):]; !decodeRow(c, r, id, s.states) {
				c.unreadableStates[id] = true
			}
		case strings.HasPrefix(r.Key, lostKey):
			c.sideKeys[r.Key] = decodeRow(c, r, r.Key[len(lostKey):], s.lost)
		case strings.HasPrefix(r.Key, lateKey):
			c.sideKeys[r.Key] = decodeRow(c, r, r.Key[len(lateKey):], s.late)
		case strings.HasPrefix(r.Key, settledKey):
			c.sideKeys[r.Key] = decodeRow(c, r, r.Key[len(settledKey):], s.settled)
		case strings.HasPrefix(r.Key, incarnationKey):
			decodeRow(c, r, r.Key[len(incarnationKey):], s.incarnations)
		case r.Key == workersKey:
			var all []keptWorker
			c.legacyWorkersRecord = c.decodeRecord(r, &all)
			for _, k := range all {
				s.incarnations[k.Incarnation] = keptIncarnation{Machine: k.Machine, Pool: k.Pool, Address: k.Address}
			}
		case r.Key == instancesKey:
			c.decodeRecord(r, &c.previousInstances)
		case strings.HasPrefix(r.Key, waveKey):
			c.restoreWave(r)
		case strings.HasPrefix(r.Key, assignmentKey):
			c.restoreAssignment(r)
		case r.Key == statsKey:
			c.restoreStats(r, now)
		case strings.HasPrefix(r.Key, idConflictKey):
			c.restoreIDConflict(r, now)
		}
	}
	return s
}

// decodeRow decodes a stored record into the row of a table, and reports whether that was possible.
func decodeRow[T any](c *session, r feed.KeyedRecord, key string, table map[string]T) bool {
	var row T
	if !c.decodeRecord(r, &row) {
		return false
	}
	table[key] = row
	return true
}

// decodeRecord decodes a stored record. A record that can't be decoded, such as one of another version, is reported
// and skipped.
func (c *session) decodeRecord(r feed.KeyedRecord, into any) bool {
	err := job.Decode(r.Value, into)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Job: r.Key}, "kept at offset %d, can't be decoded: %v", r.Offset, err)
	}
	return err == nil
}
