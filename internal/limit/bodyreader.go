// SPDX-License-Identifier: MIT

package limit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Errors of a body that was not read whole. The request has not run.
var (
	// ErrDisplaced means that the body gave way to others.
	ErrDisplaced = errors.New("the body has made no progress while others needed its room; send it again")
	// ErrStalled means that the body made no progress for too long.
	ErrStalled = errors.New("the body has made too little progress; send it again without pauses")
	// ErrNoRoom means that there was no room for the body.
	ErrNoRoom = errors.New("too many bodies are in progress; come back in a second")
	// ErrTooLarge means that the body is over its limit.
	ErrTooLarge = errors.New("the body is too large; send it in parts")
)

// IsRefusal reports whether the error is a reason for status 503: the same request may succeed later.
func IsRefusal(err error) bool {
	return errors.Is(err, ErrDisplaced) || errors.Is(err, ErrStalled) || errors.Is(err, ErrNoRoom)
}

// progressBytes is the number of bytes that counts as progress where bodies compete, so that single bytes do not keep a place.
const progressBytes = 256

// bodyReader reads a request's body with a deadline that moves with its progress.
type bodyReader struct {
	io.ReadCloser
	guard   *Guard
	conn    *conn // nil for a connection that is not bounded
	control *http.ResponseController
	start   time.Time
	// armed is when the deadline was last set.
	armed time.Time
	// read is the number of bytes read, and markedBytes what it was at moved, the latest progress.
	read, markedBytes int64
	moved             time.Time
	holds             [2]hold // in the small and the large pool
	// done means that the body was read to its end.
	done bool

	mu sync.Mutex
	// ended means that the deadline is no longer moved: the body was displaced or abandoned.
	ended, displaced bool
	// displace wakes the reader where it waits for room; it is nil otherwise.
	wake func()
}

// Read reads the next part of the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	now := time.Now()
	if b.conn != nil && b.armed.IsZero() {
		b.conn.expect() // until then the connection waits for the process, not for its client
	}
	if err := b.arm(now); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if n > 0 && b.read-b.markedBytes >= progressBytes {
		b.markProgress(time.Now())
	}
	var timeout net.Error
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		return n, b.finish()
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return n, b.stalled()
	}
	return n, err
}

// arm moves the deadline.
func (b *bodyReader) arm(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.guard.limits
	if b.displaced {
		return ErrDisplaced
	}
	if b.ended || now.Sub(b.armed) < l.BodyIdle/8 {
		return nil // a deadline for each of many small reads would cost more than the reads
	}
	b.armed = now
	latest := b.start.Add(l.BodyGrace + time.Duration(b.read)*time.Second/time.Duration(l.BodyRate))
	deadline := now.Add(l.BodyIdle)
	if latest.Before(deadline) {
		deadline = latest
	}
	_ = b.control.SetReadDeadline(deadline) // recorders of tests have none
	return nil
}

// markProgress records progress at the connection and in the pools.
func (b *bodyReader) markProgress(now time.Time) {
	b.markedBytes, b.moved = b.read, now
	if b.conn != nil {
		b.conn.expect()
	}
	for i := range b.holds {
		b.holds[i].mark(now)
	}
}

// finish is called at the end of the body. From then on, neither the connection nor the body is displaced.
func (b *bodyReader) finish() error {
	for i := range b.holds {
		b.holds[i].keep()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.displaced {
		return ErrDisplaced
	}
	b.ended, b.done = true, true
	_ = b.control.SetReadDeadline(time.Time{}) // the server reads on to notice that the client has disconnected
	if b.conn != nil && !b.conn.hold() {
		return net.ErrClosed
	}
	return io.EOF
}

// stalled returns the error for a read that has timed out.
func (b *bodyReader) stalled() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.displaced {
		return ErrDisplaced
	}
	b.guard.count(BodyStalled)
	return ErrStalled
}

// displace makes the body give way. It is called by other goroutines. It returns false if the body was read whole after it had been chosen.
func (b *bodyReader) displace() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return false
	}
	b.displaced, b.ended = true, true
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
	if b.wake != nil {
		b.wake()
	}
	return true
}

// onDisplace sets the function that displace calls.
func (b *bodyReader) onDisplace(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake = f
	if b.displaced && f != nil {
		f()
	}
}

func (b *bodyReader) isDisplaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.displaced
}

// abandon makes all further reads fail.
func (b *bodyReader) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}
