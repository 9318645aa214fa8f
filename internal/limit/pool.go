// SPDX-License-Identifier: MIT

package limit

import (
	"container/list"
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Times of competing bodies.
const (
	// stallTime is how long a body has to be without progress before another one may displace it. It is longer than the pauses of a
	// client that sends over a slow link.
	stallTime = 250 * time.Millisecond
	// roomTimeout is how long a body waits for room, and releaseTime how long a displaced one is given to release its own.
	roomTimeout = 2 * time.Second
	releaseTime = 50 * time.Millisecond
)

// pool is a part of the memory for bodies.
type pool struct {
	size int64
	room *semaphore.Weighted

	mu sync.Mutex
	// reading holds the holds of bodies that are being read, the one with the oldest progress first.
	reading list.List
	// used is what all holds have, wanted what others wait for, freeing what displaced bodies have yet to release.
	used, wanted, freeing int64
}

// hold is what one body has of a pool.
type hold struct {
	pool *pool
	body *bodyReader // nil if the body can't be displaced
	// amount, element and moved are guarded by the pool's mutex, except that only the body's own goroutine changes amount. element is nil
	// while the body can't be displaced, moved is its latest progress.
	amount  int64
	element *list.Element
	moved   time.Time
	// freeing is what the hold counts for in the pool's freeing, and is guarded likewise.
	freeing int64
}

// acquire adds n bytes to the hold. It displaces bodies that make no progress, and otherwise waits. It returns ErrNoRoom or
// ErrDisplaced.
func (h *hold) acquire(ctx context.Context, n int64) error {
	n = min(n, h.pool.size-h.amount) // a body larger than the pool passes alone
	if n <= 0 {
		return nil
	}
	waited := !h.pool.room.TryAcquire(n)
	if waited {
		h.pool.want(n)
		if err := h.wait(ctx, n); err != nil {
			h.pool.want(-n)
			return err
		}
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if waited {
		h.pool.wanted -= n
	}
	h.amount += n
	h.pool.used += n
	if h.body != nil && h.element == nil {
		h.moved = h.body.moved
		h.element = h.pool.reading.PushBack(h)
	}
	return nil
}

// want adds to what bodies wait for.
func (p *pool) want(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted += n
}

func (h *hold) wait(ctx context.Context, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	if h.body != nil {
		h.body.onDisplace(cancel)
		defer h.body.onDisplace(nil)
		if c := h.body.conn; c != nil {
			c.yield()
			defer c.expect()
		}
	}
	go h.pool.makeRoomUntil(ctx, h)
	if err := h.pool.room.Acquire(ctx, n); err == nil { // one call, because a further one would wait behind bodies that came later
		return nil
	}
	if h.body != nil && h.body.isDisplaced() {
		return ErrDisplaced
	}
	return ErrNoRoom
}

// makeRoomUntil displaces bodies while a hold waits, until the context ends.
func (p *pool) makeRoomUntil(ctx context.Context, h *hold) {
	for ctx.Err() == nil {
		retry := time.NewTimer(p.makeRoom(h))
		select {
		case <-ctx.Done():
		case <-retry.C:
		}
		retry.Stop()
	}
}

// makeRoom displaces bodies that make no progress, except h's own, until there is enough room for all that wait, together with what bodies that were displaced
// before have yet to release. It returns when to try again.
func (p *pool) makeRoom(h *hold) time.Duration {
	now := time.Now()
	retry := releaseTime
	var displaced []*hold
	p.mu.Lock()
	for e := p.reading.Front(); e != nil && p.wanted > p.size-p.used+p.freeing; {
		x, next := e.Value.(*hold), e.Next()
		if x.body != h.body {
			if still := now.Sub(x.moved); still < stallTime {
				retry = max(stallTime-still, time.Millisecond)
				break
			}
			p.reading.Remove(e)
			x.element = nil
			p.setFreeing(x, x.amount)
			displaced = append(displaced, x)
		}
		e = next
	}
	p.mu.Unlock()
	for _, x := range displaced {
		x.body.guard.count(BodyDisplaced)
		if !x.body.displace() {
			p.mu.Lock()
			p.setFreeing(x, 0)
			p.mu.Unlock()
		}
	}
	if len(displaced) > 0 {
		return releaseTime
	}
	return retry
}

// setFreeing sets what a hold counts for in freeing. p.mu must be held.
func (p *pool) setFreeing(h *hold, n int64) {
	p.freeing += n - h.freeing
	h.freeing = n
}

// mark records progress.
func (h *hold) mark(now time.Time) {
	if h.pool == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.moved = now
	if h.element != nil {
		h.pool.reading.MoveToBack(h.element)
	}
}

// keep excludes the hold from being displaced.
func (h *hold) keep() {
	if h.pool == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.element != nil {
		h.pool.reading.Remove(h.element)
		h.element = nil
	}
}

// release returns all of the hold to the pool.
func (h *hold) release() {
	if h.pool == nil {
		return
	}
	h.keep()
	h.pool.mu.Lock()
	h.pool.setFreeing(h, 0)
	h.pool.used -= h.amount
	h.pool.mu.Unlock()
	if h.amount > 0 {
		h.pool.room.Release(h.amount)
	}
}
