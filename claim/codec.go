// SPDX-License-Identifier: MIT

package claim

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encode returns the CBOR encoding of the batch.
func (b Batch) Encode() ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode claims batch: %w", err)
	}
	return data, nil
}

// DecodeBatch decodes a batch that Encode wrote.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, fmt.Errorf("decode claims batch: %w", err)
	}
	return b, nil
}
