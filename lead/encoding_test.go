// SPDX-License-Identifier: MIT

package lead

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/internal/golden"
)

// The leader's record is an array, whose order of fields is the format: entries of two versions stand for one lead and read each other's records.
func TestStoredFormStays(t *testing.T) {
	c := quicktest.New(t)
	golden.Check(c, "record", Record{Entry: "entry", Address: "address", Boot: "boot", Term: 1, Fence: 2, Released: true, PredecessorsActive: true, Weight: 3.5}, cbor.Marshal, cbor.Unmarshal)
	golden.Check(c, "record-coarse", Record{Entry: "entry", Term: 1, Fence: 2, Unstored: true, PredecessorsUnstored: true}, cbor.Marshal, cbor.Unmarshal)
	golden.Check(c, "record-open", Record{Entry: "entry", Term: 1, Fence: 2, Unstored: true, PredecessorsActive: true}, cbor.Marshal, cbor.Unmarshal)
}
