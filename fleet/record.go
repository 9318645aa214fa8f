// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Record is one entry of the fleet log; exactly one of its bodies is set.
type Record struct {
	// ID is chosen by the writer, who waits for it when an append's answer is lost.
	ID string `cbor:"i"`
	// Writer is the entry that appended the record.
	Writer string `cbor:"w,omitempty"`
	// By is the operator or team on whose behalf the record was written.
	By string `cbor:"b,omitempty"`
	// Time is the writer's clock; it is shown and never compared.
	Time time.Time `cbor:"t"`

	Configure  *Configure  `cbor:"cf,omitempty"`
	Observe    *Observe    `cbor:"ob,omitempty"`
	Join       *Join       `cbor:"jn,omitempty"`
	Leave      *Leave      `cbor:"lv,omitempty"`
	Propose    *Propose    `cbor:"pr,omitempty"`
	Control    *Control    `cbor:"co,omitempty"`
	Advance    *Advance    `cbor:"ad,omitempty"`
	Submit     *Submit     `cbor:"su,omitempty"`
	Start      *Start      `cbor:"st,omitempty"`
	Settle     *Settle     `cbor:"se,omitempty"`
	Cancel     *Cancel     `cbor:"ca,omitempty"`
	Park       *Park       `cbor:"pk,omitempty"`
	Yield      *Yield      `cbor:"yi,omitempty"`
	Measure    *Measure    `cbor:"me,omitempty"`
	Throttle   *Throttle   `cbor:"th,omitempty"`
	Checkpoint *Checkpoint `cbor:"ck,omitempty"`
}

// Checkpoint carries the tables forward so that older records may be dropped by the log.
type Checkpoint struct {
	// Offset is the last record that the tables include.
	Offset int64 `cbor:"o"`
	// Tables is the output of Tables.Checkpoint.
	Tables []byte `cbor:"t"`
}

var encoder, decoder = codecs()

func codecs() (cbor.EncMode, cbor.DecMode) {
	opts := cbor.CanonicalEncOptions()
	opts.Time = cbor.TimeUnixMicro
	enc, err := opts.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 22, MaxMapPairs: 1 << 22}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return enc, dec
}

// Encode returns the record's bytes for the log.
func (r Record) Encode() ([]byte, error) {
	b, err := encoder.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return b, nil
}

// DecodeRecord reads bytes that Encode wrote; it fails on anything else.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := decoder.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
