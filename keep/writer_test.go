// SPDX-License-Identifier: MIT

package keep

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rackstep.dev/feed"
)

// fakeStore accepts batches as the platform's store does: all or nothing, and each sequence number once.
type fakeStore struct {
	stored    map[string][]byte
	calls     int
	sequence  int64
	epoch     int64
	lastBatch string
	// refuses reports whether the store permanently refuses a record.
	refuses func(r feed.KeyedRecord) bool
	// nextFault returns the fault of the next call: 0 none, 1 not accepted, 2 accepted but not answered.
	nextFault func() int
}

func newFakeStore() *fakeStore {
	return &fakeStore{stored: make(map[string][]byte), refuses: func(feed.KeyedRecord) bool { return false }, nextFault: func() int { return 0 }}
}

func (s *fakeStore) append(_ context.Context, b feed.Batch) (int64, error) {
	s.calls++
	fault := s.nextFault()
	if fault == 1 {
		return 0, feed.ErrUnavailable
	}
	if b.Epoch < s.epoch {
		return 0, &feed.FencedError{}
	}
	batch := fmt.Sprint(b.Sequence, b.Records)
	switch {
	case b.Sequence == s.sequence && batch == s.lastBatch:
		return 1, nil // repeats the first answer
	case b.Sequence != s.sequence+1:
		return 0, &feed.SequenceError{Want: s.sequence + 1}
	}
	for _, r := range b.Records {
		if s.refuses(r) {
			return 0, &feed.RefusedError{Message: "no"}
		}
	}
	for _, r := range b.Records {
		s.stored[r.Key] = r.Value
	}
	s.sequence, s.lastBatch = b.Sequence, batch
	if fault == 2 {
		return 0, feed.ErrUncertain
	}
	return 1, nil
}

func (s *fakeStore) writer() *Writer {
	return &Writer{Call: s.append, Name: "w", Epoch: 1, MaxRecordBytes: 100, OnFailure: func(error) {}, OnRecovery: func() {}}
}

// TestOversizedRecordIsSetAsideAlone guards against one bad record that blocks all later ones. A leader that kept all workers
// in one record exceeded the store's limit at some 3,500 workers. The permanent refusal (status 400) was treated as an outage and
// retried for ever, so that 7,303 of 14,267 task completions behind it were never stored.
func TestOversizedRecordIsSetAsideAlone(t *testing.T) {
	for _, x := range [...]struct {
		name string
		// bounded is set when the writer knows the limit, so that the record is never sent.
		bounded bool
		calls   int
	}{
		{"by the bound that is known", true, 1},
		{"by the store's answer", false, 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newFakeStore()
			s.refuses = func(r feed.KeyedRecord) bool { return recordSize(r) > 100 }
			w := s.writer()
			if !x.bounded {
				w.MaxRecordBytes = 0
			}
			records := []feed.KeyedRecord{{Key: "a", Value: []byte{1}}, {Key: "b", Value: []byte{1}}, {Key: "long", Value: bytes.Repeat([]byte{1}, 200)}, {Key: "c"}, {Key: "d"}}
			aside, err := w.Append(context.Background(), records)
			c.Assert(err, quicktest.IsNil)
			c.Assert(aside, quicktest.HasLen, 1)
			c.Assert(aside[0].Key, quicktest.Equals, "long")
			c.Assert(aside[0].Error(), quicktest.Contains, "reduce its content")
			c.Assert(s.stored, quicktest.HasLen, 4)
			c.Assert(s.calls, quicktest.Equals, x.calls)
		})
	}
}

func TestWriterEndsWhenFenced(t *testing.T) {
	s := newFakeStore()
	s.epoch = 2
	_, err := s.writer().Append(context.Background(), []feed.KeyedRecord{{Key: "a"}})
	quicktest.Assert(t, err, quicktest.ErrorAs, new(*feed.FencedError))
}

// TestAllButRefusedRecordsAreStored appends random batches with records that are refused, while calls fail or are
// not answered. Exactly the refused records must be reported, and all others stored.
func TestAllButRefusedRecordsAreStored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		batches := rapid.SliceOfN(rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]byte("abx")), 1, 120), 1, 9), 1, 5).Draw(r, "batches")
		faults := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(r, "faults")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = appendAll(batches, faults) })
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// appendAll appends batches of values to a store whose calls meet the given faults one after the other. It returns a description of
// the first difference between what is stored and what should be, or an empty string.
func appendAll(batches [][][]byte, faults []int) string {
	s := newFakeStore()
	s.refuses = func(r feed.KeyedRecord) bool { return r.Value[0] == 'x' }
	s.nextFault = func() int {
		if len(faults) == 0 {
			return 0
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
	w := s.writer()
	want := make(map[string]string)
	for _, values := range batches {
		var records []feed.KeyedRecord
		wantAside := make(map[string]bool)
		for i, v := range values {
			r := feed.KeyedRecord{Key: fmt.Sprint("k", i), Value: v}
			records = append(records, r)
			if s.refuses(r) || recordSize(r) > w.MaxRecordBytes {
				wantAside[r.Key] = true
				continue
			}
			want[r.Key] = string(v)
		}
		aside, err := w.Append(context.Background(), records)
		if err != nil {
			return err.Error()
		}
		for _, a := range aside {
			if !wantAside[a.Key] {
				return a.Error()
			}
		}
		if len(aside) != len(wantAside) {
			return fmt.Sprintf("%d records were set aside, want %d", len(aside), len(wantAside))
		}
	}
	if len(s.stored) != len(want) {
		return fmt.Sprintf("%d records are stored, want %d", len(s.stored), len(want))
	}
	for k, v := range want {
		if string(s.stored[k]) != v {
			return fmt.Sprintf("%s is stored as %q", k, s.stored[k])
		}
	}
	return ""
}

func TestDirtyRowsPopInOrderOfFirstChange(t *testing.T) {
	c := quicktest.New(t)
	var x DirtyRows[int]
	x.Add("a", 1)
	x.Add("b", 2)
	x.Add("a", 3)
	x.Add("c", 4)
	x.Remove("b")
	key, row, ok := x.Pop()
	c.Assert([]any{key, row, ok}, quicktest.DeepEquals, []any{"a", 3, true})
	c.Assert(x.Has("c"), quicktest.IsTrue)
	key, _, _ = x.Pop()
	c.Assert(key, quicktest.Equals, "c")
	_, _, ok = x.Pop()
	c.Assert(ok, quicktest.IsFalse)
	c.Assert(x.Empty(), quicktest.IsTrue)
}
