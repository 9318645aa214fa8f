// SPDX-License-Identifier: MIT

package pool

import "sync"

// message is something that the control goroutine takes in.
type message interface {
	apply(c *session)
}

// inbox hands messages to the control goroutine; posting never blocks.
type inbox struct {
	mu     sync.Mutex
	queue  []message
	signal chan struct{}
}

func newInbox() *inbox { return &inbox{signal: make(chan struct{}, 1)} }

func (b *inbox) post(m message) {
	b.mu.Lock()
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
