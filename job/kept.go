// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Stored is what of a job must outlive every process, besides its Spec.
type Stored struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Done has a bit for each finished task, by ordinal.
	Done []byte
	// Failed are the failed runs.
	Failed []FailedRun
	// Ended is when the job ended, 0 before.
	Ended UnixMilli
	Began bool
	// Runs are the runs that were ordered, or are about to be.
	Runs []OrderedRun
}

// OrderedRun names a run and the life of the worker that it was ordered from.
type OrderedRun struct {
	_       struct{} `cbor:",toarray"`
	Ordinal int
	Run     int64
	Life    string
}

// FailedRun names a run that failed.
type FailedRun struct {
	_       struct{} `cbor:",toarray"`
	Ordinal int
	Run     int64
}

// Stored returns what is to be kept of the job.
func (j *Job) Stored() Stored {
	k := Stored{State: j.State, Done: make([]byte, (len(j.Tasks)+7)/8), Began: j.Began}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == Finished {
			k.Done[i/8] |= 1 << (i % 8)
		}
		if t.Phase == Starting || t.Phase == Active {
			k.Runs = append(k.Runs, OrderedRun{Ordinal: i, Run: t.Run, Life: t.Worker})
		}
		for _, r := range t.FailedRuns {
			k.Failed = append(k.Failed, FailedRun{Ordinal: i, Run: r})
		}
	}
	if j.State.Ended() {
		k.Ended = UnixMilli(j.Ended.UnixMilli())
		k.Done = nil // nobody asks for single tasks of an ended job
		k.Failed = nil
	}
	return k
}

// Restore brings a new job to where what was kept left it.
func (j *Job) Restore(k Stored, now time.Time) {
	j.Began = k.Began
	for _, f := range k.Failed {
		if f.Ordinal >= 0 && f.Ordinal < len(j.Tasks) {
			t := &j.Tasks[f.Ordinal]
			t.FailedRuns = append(t.FailedRuns, f.Run)
		}
	}
	for i := range j.Tasks {
		if i/8 < len(k.Done) && k.Done[i/8]&(1<<(i%8)) != 0 {
			j.Done(&j.Tasks[i], now)
		}
	}
	if k.State.Ended() {
		j.State = k.State
		j.Ended = k.Ended.Time()
	}
	j.Version, j.StoredVersion = 1, 1
}

// Encode returns the bytes of a Spec or a Kept.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return b, nil
}

// Decode reads what Encode wrote.
func Decode(b []byte, into any) error {
	if err := cbor.Unmarshal(b, into); err != nil {
		return fmt.Errorf("decode job: %w; it was written by another version", err)
	}
	return nil
}

// Name is a task's name in parts.
type Name struct {
	ID                string
	Time, Step, Index int
}

// ParseName reads ID.TIME.STEP.INDEX.
func ParseName(s string) (Name, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return Name{}, false
	}
	n := Name{ID: p[0]}
	for i, into := range [...]*int{&n.Time, &n.Step, &n.Index} {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return Name{}, false
		}
		*into = v
	}
	return n, true
}
