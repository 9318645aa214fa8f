// SPDX-License-Identifier: MIT

package claim

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/internal/golden"
)

// The records of the claims log are arrays, whose order of fields is the format: entries of two versions fold one log.
func TestStoredFormStays(t *testing.T) {
	c := quicktest.New(t)
	b := Batch{
		Time:        1,
		Claims:      []Claim{{Key: "key", Digest: [16]byte{2, 3}, NotAfter: 4, Token: "token"}},
		Completions: []Completion{{Key: "other", Token: "second", Status: 5}},
	}
	golden.Check(c, "batch", b, cbor.Marshal, cbor.Unmarshal)
}
