// SPDX-License-Identifier: MIT

package route

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Target is one instance that a Gate may give requests to.
type Target struct {
	Instance   string
	Address    string
	Generation uint64
	// Held is the number of its slots that other entries still use.
	Held int
}

// Request is what a Gate needs to know of a request.
type Request struct {
	Team string
	// Share is the team's weight; 1 when 0.
	Share  int
	Urgent bool
	// Deadline is when the request must have its slot; none when zero.
	Deadline time.Time
	// Avoid are instances that the request has been to already.
	Avoid []string
}

// Limits bound a Gate.
type Limits struct {
	// Slots is the number of requests that one target runs at once.
	Slots int
	// Queue is the number of requests that may wait.
	Queue int
	// Moved says that another entry runs the service's Gate now; who waits here is sent there.
	Moved bool
}

// Gate gives the slots of one service's targets to requests.
type Gate struct {
	// Clock returns the current time; time.Now when nil.
	Clock func() time.Time
	// After runs f once the time has passed; time.AfterFunc when nil.
	After func(d time.Duration, f func())
	// HealthChanged is called when a target falls sick or recovers; may be nil.
	HealthChanged func(instance string, sick bool)

	mu      sync.Mutex
	limits  Limits
	targets []*slots
	leaving []*slots // no longer routed to, with requests in flight
	urgent  queue
	normal  queue
	turn    int
	waking  bool          // a timer will look at the queue again
	service time.Duration // running mean of a request's time at its target
}

// slots is a target and what runs on it.
type slots struct {
	Target
	health
	busy int
}

type waiter struct {
	request Request
	granted chan *Lease
	refused chan *RefusedError
}

func (g *Gate) now() time.Time {
	if g.Clock != nil {
		return g.Clock()
	}
	return time.Now()
}

// Set replaces the limits and the targets; requests in flight on targets that go are still counted.
func (g *Gate) Set(limits Limits, targets []Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	old := append(g.targets, g.leaving...)
	g.targets, g.leaving = nil, nil
	for _, t := range targets {
		s := &slots{Target: t}
		if i := slices.IndexFunc(old, func(o *slots) bool { return o.Instance == t.Instance }); i >= 0 {
			s = old[i]
			old = slices.Delete(old, i, i+1)
			if s.Generation != t.Generation {
				s.health = health{}
			}
			s.Target = t
		}
		g.targets = append(g.targets, s)
	}
	for _, o := range old {
		if o.busy > 0 {
			g.leaving = append(g.leaving, o)
		}
	}
	g.hand()
	if len(g.targets) == 0 {
		g.refuseAll(g.noTarget())
	}
}

// Held returns the requests in flight on instances that are no longer routed to from here, by instance.
func (g *Gate) Held() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.leaving) == 0 {
		return nil
	}
	held := make(map[string]int, len(g.leaving))
	for _, s := range g.leaving {
		held[s.Instance] = s.busy
	}
	return held
}

// Load returns the requests in flight, those waiting, and the slots of all targets.
func (g *Gate) Load() (inFlight, waiting, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.targets {
		inFlight += s.busy
	}
	return inFlight, g.urgent.n + g.normal.n, len(g.targets) * g.limits.Slots
}

// Spare returns the number of free slots less that of waiting requests.
func (g *Gate) Spare() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	spare := -g.urgent.n - g.normal.n
	for _, s := range g.targets {
		spare += max(0, s.allowed(g.limits.Slots-s.Held, now)-s.busy)
	}
	return spare
}

// Acquire waits for a slot; it fails with a RefusedError, and then nothing was dispatched.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Lease, error) {
	w, lease, refused := g.enter(r)
	switch {
	case refused != nil:
		return nil, refused
	case lease != nil:
		return lease, nil
	}
	var timeout <-chan time.Time
	if !r.Deadline.IsZero() {
		t := time.NewTimer(r.Deadline.Sub(g.now()))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case l := <-w.granted:
		return l, nil
	case e := <-w.refused:
		return nil, e
	case <-timeout:
		return g.leave(w, KindDeadline)
	case <-ctx.Done():
		return g.leave(w, KindCancelled)
	}
}

// HasFreeSlot says whether the request would get a slot without waiting.
func (g *Gate) HasFreeSlot(r Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle(r) && g.pick(r, g.now()) != nil
}

// leave takes the request out of the queue; a slot that it got at the same moment goes to the next one.
func (g *Gate) leave(w *waiter, kind Kind) (*Lease, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case l := <-w.granted:
		l.slots.busy--
		g.hand()
	default:
		g.queueOf(w.request).remove(w)
	}
	return nil, &RefusedError{Kind: kind, RetryAfter: g.wait()}
}

func (g *Gate) queueOf(r Request) *queue {
	if r.Urgent {
		return &g.urgent
	}
	return &g.normal
}

// enter gives the request a slot, a place in the queue, or a refusal.
func (g *Gate) enter(r Request) (*waiter, *Lease, *RefusedError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.targets) == 0 {
		return nil, nil, g.noTarget()
	}
	now := g.now()
	if g.idle(r) {
		if s := g.pick(r, now); s != nil {
			return nil, g.lease(s, now), nil
		}
	}
	if wait := g.waitFor(r); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return nil, nil, &RefusedError{Kind: KindDeadline, RetryAfter: wait}
	}
	if g.urgent.n+g.normal.n >= g.limits.Queue && !g.makeRoom(r) {
		return nil, nil, &RefusedError{Kind: KindFull, RetryAfter: g.wait()}
	}
	w := &waiter{request: r, granted: make(chan *Lease, 1), refused: make(chan *RefusedError, 1)}
	g.queueOf(r).push(w)
	g.hand()
	g.watch(now)
	return w, nil, nil
}

// idle says that nobody waits who would go before the request.
func (g *Gate) idle(r Request) bool {
	return g.urgent.n == 0 && (r.Urgent || g.normal.n == 0)
}

// makeRoom refuses the latest request of the team that holds the most places, if that is not the arriving one.
func (g *Gate) makeRoom(r Request) bool {
	mine := 1.0
	if t := g.queueOf(r).teams[r.Team]; t != nil {
		mine += t.places()
	}
	q := &g.normal
	t, places := q.longest()
	if t == nil || (!r.Urgent && places <= mine) {
		if !r.Urgent {
			return false
		}
		q = &g.urgent
		if t, places = q.longest(); t == nil || places <= mine {
			return false
		}
	}
	last := t.waiting[len(t.waiting)-1]
	q.remove(last)
	last.refused <- &RefusedError{Kind: KindFull, RetryAfter: g.wait()}
	return true
}

func (g *Gate) noTarget() *RefusedError {
	if g.limits.Moved {
		return &RefusedError{Kind: KindMoved}
	}
	return &RefusedError{Kind: KindNoTarget}
}

func (g *Gate) refuseAll(e *RefusedError) {
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for _, t := range q.teams {
			for _, w := range t.waiting {
				w.refused <- e
			}
		}
		*q = queue{}
	}
}

// pick returns the target with the smallest part of its slots in use, or nil.
func (g *Gate) pick(r Request, now time.Time) *slots {
	var best *slots
	var bestAllowed int
	for i := range g.targets {
		s := g.targets[(g.turn+i)%len(g.targets)]
		allowed := s.allowed(g.limits.Slots-s.Held, now)
		if s.busy >= allowed || slices.Contains(r.Avoid, s.Instance) {
			continue
		}
		if best == nil || s.busy*bestAllowed < best.busy*allowed {
			best, bestAllowed = s, allowed
		}
	}
	return best
}

func (g *Gate) lease(s *slots, now time.Time) *Lease {
	s.busy++
	g.turn++
	return &Lease{Target: s.Target, gate: g, slots: s, since: now}
}

// hand gives free slots to those who wait.
func (g *Gate) hand() {
	now := g.now()
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for q.n > 0 {
			var free *slots
			w := q.first(func(w *waiter) bool {
				s := g.pick(w.request, now)
				if s != nil {
					free = s
				}
				return s != nil
			})
			if w == nil {
				break
			}
			q.granted(w)
			w.granted <- g.lease(free, now)
		}
	}
}

// watch looks again when the next paused target opens, because no finished request may wake the queue then.
func (g *Gate) watch(now time.Time) {
	var next time.Time
	for _, s := range g.targets {
		if s.openAt.After(now) && (next.IsZero() || s.openAt.Before(next)) {
			next = s.openAt
		}
	}
	if next.IsZero() || g.waking || g.urgent.n+g.normal.n == 0 {
		return
	}
	g.waking = true
	after := g.After
	if after == nil {
		after = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	after(next.Sub(now)+time.Millisecond, g.look)
}

// look hands out slots that have become free by the passing of time.
func (g *Gate) look() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waking = false
	g.hand()
	g.watch(g.now())
}

// waitFor estimates how long the request would wait behind those that go before it.
func (g *Gate) waitFor(r Request) time.Duration {
	ahead := g.urgent.n
	if !r.Urgent {
		ahead += g.normal.n
		// Fair queueing lets the request pass teams that hold more than their part.
		if teams := len(g.normal.teams) + 1; teams > 1 && g.normal.teams[r.Team] == nil {
			ahead = g.urgent.n + teams
		}
	}
	return g.drainTime(ahead)
}

// wait estimates how long the whole queue takes to drain.
func (g *Gate) wait() time.Duration {
	return max(10*time.Millisecond, g.drainTime(g.urgent.n+g.normal.n))
}

func (g *Gate) drainTime(requests int) time.Duration {
	total := 0
	now := g.now()
	for _, s := range g.targets {
		total += max(0, s.allowed(g.limits.Slots-s.Held, now))
	}
	if total == 0 || requests == 0 {
		return 0
	}
	return time.Duration(requests) * g.service / time.Duration(total)
}

func (g *Gate) learn(s *slots, r Result, now time.Time) (changed bool) {
	switch r {
	case ResultOK:
		return s.ok(g.limits.Slots)
	case ResultRefused:
		s.refused(now)
	case ResultFailed:
		well := slices.ContainsFunc(g.targets, func(o *slots) bool { return o != s && !o.sick })
		changed = s.failed(now, well)
		if !well {
			for _, o := range g.targets {
				o.forgive()
			}
		}
	}
	return changed
}

// measure keeps a running mean of the service time with a weight of one eighth for the latest.
func (g *Gate) measure(d time.Duration) {
	if g.service == 0 {
		g.service = d
		return
	}
	g.service += (d - g.service) / 8
}
