// SPDX-License-Identifier: MIT

package pool

import "sync"

// message is an event that the control goroutine applies to the tables.
type message interface {
	apply(c *session)
}

// inbox is the queue of messages to the control goroutine. Posting never blocks.
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

// takeAll removes and returns all messages, in the order in which they were posted.
func (b *inbox) takeAll() []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue
	b.queue = nil
	return q
}
