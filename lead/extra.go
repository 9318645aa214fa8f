// SPDX-License-Identifier: MIT

package lead

import "rackstep.dev/feed"

// extraRecord is a record under another key and the leader's record of its batch.
type extraRecord struct {
	feed.KeyedRecord
	leader Record
}

// newExtra reports whether a record under another key is read for the first time.
func (e *Elector) newExtra(r feed.KeyedRecord) bool {
	if r.Offset != 0 && r.Offset <= e.extraOffset {
		return false
	}
	e.extraOffset = r.Offset
	return true
}
