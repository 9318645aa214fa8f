// SPDX-License-Identifier: MIT

package admission

import (
	"sync"
	"time"

	"rackstep.dev/internal/clock"
)

// maxAge is the age from which a notice refuses nothing any more.
const maxAge = 2 * time.Second

// Board holds the newest notice that an entry has read. The zero value holds none.
type Board struct {
	// Clock measures the age of the notice, including suspensions of the machine; the monotonic clock when nil.
	Clock *clock.Clock

	mu     sync.Mutex
	notice *Notice
	readAt time.Time
}

// Post replaces the notice.
func (b *Board) Post(n *Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notice, b.readAt = n, b.Clock.ExactNow()
}

// Clear drops the notice, because its age is not known any more.
func (b *Board) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notice = nil
}

// Current returns the notice and its age, or nil if there is none from the leader with the fencing token, or it is too old.
func (b *Board) Current(fence int64) (*Notice, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.notice == nil || b.notice.Fence != fence {
		return nil, 0
	}
	age := b.Clock.ExactNow().Sub(b.readAt)
	if age < 0 || age >= maxAge {
		return nil, 0
	}
	return b.notice, age
}
