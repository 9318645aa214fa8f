// SPDX-License-Identifier: MIT

package lead

import "rackstep.dev/feed"

// extraRecord is a record under another key and the leader's record of its batch.
type extraRecord struct {
	feed.KeyedRecord
	leader Record
}

// newExtra reports whether a record under another key is read for the first time, and records that it was. The caller holds mu.
func (e *Elector) newExtra(r feed.KeyedRecord) bool {
	if r.Offset != 0 && r.Offset <= e.extraOffset {
		return false
	}
	e.extraOffset = r.Offset
	return true
}

// applyOwn applies a record under one of the elector's other keys, and reports whether it is one. The caller holds mu.
func (e *Elector) applyOwn(r feed.KeyedRecord) bool {
	switch r.Key {
	case capacityKey:
		e.applyCapacity(r.Value)
	case successorKey:
		e.applySuccessor(r.Value)
	default:
		return false
	}
	return true
}
