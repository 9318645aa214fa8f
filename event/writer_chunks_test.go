// SPDX-License-Identifier: MIT

package event

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// writes records the content of each call of Write.
type writes [][]byte

// Write records a copy of b.
func (p *writes) Write(b []byte) (int, error) {
	*p = append(*p, bytes.Clone(b))
	return len(b), nil
}

// TestLinesLeaveWholeAndInSmallWrites guards against long writes of log lines: a process whose machine lost power during a write
// that exceeded the pipe's atomic size hung for good. Only a single line that is longer than the limit may exceed it.
func TestLinesLeaveWholeAndInSmallWrites(t *testing.T) {
	c := quicktest.New(t)
	var out writes
	w := &Writer{Out: &out}
	var want strings.Builder
	for i := range 400 {
		line := strings.Repeat("x", 20+i) + "\n"
		want.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	long := strings.Repeat("y", 3*maxWriteBytes) + "\n" // longer than a write may be
	want.WriteString(long)
	_, _ = w.Write([]byte(long))
	w.Flush()
	var got strings.Builder
	for _, p := range out {
		c.Assert(p[len(p)-1], quicktest.Equals, byte('\n'))
		c.Assert(len(p) <= maxWriteBytes || bytes.Count(p, []byte("\n")) == 1, quicktest.IsTrue)
		got.Write(p)
	}
	c.Assert(got.String(), quicktest.Equals, want.String())
}
