// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/golden"
)

// Entries of two versions fold one log and load each other's checkpoints. The rows of a checkpoint have no tags for the log: the names of their
// fields are the format.
func TestStoredFormsStay(t *testing.T) {
	c := quicktest.New(t)
	var r Record
	golden.Fill(&r)
	golden.Check(c, "record", r, encoder.Marshal, decoder.Unmarshal)
	var im image
	golden.Fill(&im)
	golden.Check(c, "image", im, encoder.Marshal, decoder.Unmarshal)
}
