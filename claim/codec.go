// SPDX-License-Identifier: MIT

package claim

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode returns the batch's bytes for the log.
func (b Batch) Encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return data, nil
}

// DecodeBatch reads bytes that Encode wrote; it fails on anything else.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, fmt.Errorf("decode claims: %w", err)
	}
	return b, nil
}
