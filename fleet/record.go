// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Record is one record of the fleet log. Exactly one of its bodies is set.
type Record struct {
	// ID is chosen by the writer, which looks for it in the log when the answer to the append is lost.
	ID string `cbor:"i"`
	// Writer is the entry that appended the record.
	Writer string `cbor:"w,omitempty"`
	// By is the operator or team on whose behalf the record was written.
	By string `cbor:"b,omitempty"`
	// Time is the time by the writer's clock. Records are never ordered by it.
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

// Checkpoint is the record of the whole tables. It allows the log to drop older records.
type Checkpoint struct {
	// Offset is the offset of the last record included in the tables.
	Offset int64 `cbor:"o"`
	// Tables is the output of Tables.Checkpoint.
	Tables []byte `cbor:"t"`
}

var encoder, decoder = newCodecs()

func newCodecs() (cbor.EncMode, cbor.DecMode) {
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

// Encode returns the encoding of the record for the log.
func (r Record) Encode() ([]byte, error) {
	b, err := encoder.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return b, nil
}

// DecodeRecord decodes the output of Encode.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := decoder.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
