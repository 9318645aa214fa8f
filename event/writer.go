// SPDX-License-Identifier: MIT

package event

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	// maxBufferedBytes bounds the lines that are waiting to be written; further lines are dropped and counted.
	maxBufferedBytes = 256 << 10
	// maxWriteBytes bounds one write, which consists of whole lines: a pipe accepts up to 4096 bytes atomically.
	maxWriteBytes = 4096
	// flushDelay is the time between a line and its write, so that lines are written in batches.
	flushDelay = 50 * time.Millisecond
)

// Writer buffers log lines and writes them from another goroutine, so that logging never blocks.
//
// Lines that do not fit into its buffer are dropped and counted. Set the fields before use.
type Writer struct {
	Out io.Writer

	mu             sync.Mutex
	buffer         bytes.Buffer
	flushScheduled bool
	dropped        atomic.Int64
}

// Write buffers one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer.Write(line)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushDelay, w.flush)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush writes the buffered lines now.
func (w *Writer) Flush() { w.flush() }

func (w *Writer) flush() {
	w.mu.Lock()
	out := w.buffer
	w.buffer = bytes.Buffer{}
	w.flushScheduled = false
	w.mu.Unlock()
	for b := out.Bytes(); len(b) > 0; {
		n := wholeLines(b)
		_, _ = w.Out.Write(b[:n]) // a failing log must not stop the entry
		b = b[n:]
	}
}

// wholeLines returns the length of the longest prefix of whole lines that fits into one write. A first line that is longer than a
// write may be is returned whole.
func wholeLines(b []byte) int {
	if len(b) <= maxWriteBytes {
		return len(b)
	}
	if i := bytes.LastIndexByte(b[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return i + 1
	}
	return len(b)
}
