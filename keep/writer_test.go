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

// shelf is a store that takes batches as the users' does: all or nothing, each sequence number once.
type shelf struct {
	kept     map[string][]byte
	calls    int
	sequence int64
	epoch    int64
	answer   string
	// bad says whether the store refuses a record for good.
	bad func(r feed.KeyedRecord) bool
	// trouble is what goes wrong with a call: nothing, not taken, taken without an answer.
	trouble func() int
}

func newShelf() *shelf {
	return &shelf{kept: make(map[string][]byte), bad: func(feed.KeyedRecord) bool { return false }, trouble: func() int { return 0 }}
}

func (s *shelf) append(_ context.Context, b feed.Batch) (int64, error) {
	s.calls++
	trouble := s.trouble()
	if trouble == 1 {
		return 0, feed.ErrUnavailable
	}
	if b.Epoch < s.epoch {
		return 0, &feed.FencedError{}
	}
	name := fmt.Sprint(b.Sequence, b.Records)
	switch {
	case b.Sequence == s.sequence && name == s.answer:
		return 1, nil // the first answer again
	case b.Sequence != s.sequence+1:
		return 0, &feed.SequenceError{Want: s.sequence + 1}
	}
	for _, r := range b.Records {
		if s.bad(r) {
			return 0, &feed.RefusedError{Message: "no"}
		}
	}
	for _, r := range b.Records {
		s.kept[r.Key] = r.Value
	}
	s.sequence, s.answer = b.Sequence, name
	if trouble == 2 {
		return 0, feed.ErrUncertain
	}
	return 1, nil
}

func (s *shelf) writer() *Writer {
	return &Writer{Call: s.append, Name: "w", Epoch: 1, MaxRecordBytes: 100, OnFailure: func(error) {}, OnRecovery: func() {}}
}

// The story. A fleet's leader kept all its workers in one record. Past some 3,500 of them the store refused it for good, 400 "records can't be read, or
// are too long"; it was taken for a store that is away and tried again for ever, and behind it no end and no answer was kept any more. The evidence: the
// leader's log 14.7 s before the first request, and 7,303 of 14,267 ends that were never taken note of.
func TestARecordThatIsTooLongCostsItselfAlone(t *testing.T) {
	for _, x := range [...]struct {
		name string
		// bounded says that the writer knows the bound, so that the record is never sent.
		bounded bool
		calls   int
	}{
		{"by the bound that is known", true, 1},
		{"by the store's answer", false, 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newShelf()
			s.bad = func(r feed.KeyedRecord) bool { return size(r) > 100 }
			w := s.writer()
			if !x.bounded {
				w.MaxRecordBytes = 0
			}
			records := []feed.KeyedRecord{{Key: "a", Value: []byte{1}}, {Key: "b", Value: []byte{1}}, {Key: "long", Value: bytes.Repeat([]byte{1}, 200)}, {Key: "c"}, {Key: "d"}}
			aside, err := w.Append(context.Background(), records)
			c.Assert(err, quicktest.IsNil)
			c.Assert(aside, quicktest.HasLen, 1)
			c.Assert(aside[0].Key, quicktest.Equals, "long")
			c.Assert(aside[0].Error(), quicktest.Contains, "make what it holds smaller")
			c.Assert(s.kept, quicktest.HasLen, 4)
			c.Assert(s.calls, quicktest.Equals, x.calls)
		})
	}
}

func TestALaterTermEndsTheWriter(t *testing.T) {
	s := newShelf()
	s.epoch = 2
	_, err := s.writer().Append(context.Background(), []feed.KeyedRecord{{Key: "a"}})
	quicktest.Assert(t, err, quicktest.ErrorAs, new(*feed.FencedError))
}

// TestWhateverTheStoreAnswersAllButBadRecordsAreKept plays random batches, records that are refused, and calls that fail or are not answered.
func TestWhateverTheStoreAnswersAllButBadRecordsAreKept(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		batches := rapid.SliceOfN(rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]byte("abx")), 1, 120), 1, 9), 1, 5).Draw(r, "batches")
		troubles := rapid.SliceOfN(rapid.IntRange(0, 2), 0, 30).Draw(r, "troubles")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = appendAll(batches, troubles) })
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// appendAll appends batches of values to a store in which the troubles happen one after the other, and returns what is wrong with what it keeps.
func appendAll(batches [][][]byte, troubles []int) string {
	s := newShelf()
	s.bad = func(r feed.KeyedRecord) bool { return r.Value[0] == 'x' }
	s.trouble = func() int {
		if len(troubles) == 0 {
			return 0
		}
		next := troubles[0]
		troubles = troubles[1:]
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
			if s.bad(r) || size(r) > w.MaxRecordBytes {
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
			return fmt.Sprintf("%d records aside of %d", len(aside), len(wantAside))
		}
	}
	if len(s.kept) != len(want) {
		return fmt.Sprintf("%d records kept of %d", len(s.kept), len(want))
	}
	for k, v := range want {
		if string(s.kept[k]) != v {
			return fmt.Sprintf("%s is kept as %q", k, s.kept[k])
		}
	}
	return ""
}

func TestRowsComeInTheOrderOfTheirFirstChange(t *testing.T) {
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
