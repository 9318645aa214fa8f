// SPDX-License-Identifier: MIT

package pool

import (
	"sync"
	"time"
)

// message is something that the control goroutine takes in.
type message interface {
	apply(c *session)
}

// inbox hands messages to the control goroutine; posting never blocks.
type inbox struct {
	mu     sync.Mutex
	queue  []message
	oldest time.Time // when the first of the queue was posted
	signal chan struct{}
}

func newInbox() *inbox { return &inbox{signal: make(chan struct{}, 1)} }

func (b *inbox) post(m message) {
	b.mu.Lock()
	if len(b.queue) == 0 {
		b.oldest = time.Now()
	}
	b.queue = append(b.queue, m)
	b.mu.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// take returns all that was posted, in order.
func (b *inbox) take() []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue
	b.queue = nil
	return q
}

// waited returns how long the oldest message has waited, 0 when there is none.
func (b *inbox) waited(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return 0
	}
	return now.Sub(b.oldest)
}
