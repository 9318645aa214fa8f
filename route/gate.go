// SPDX-License-Identifier: MIT

package route

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Target is an instance to which a Gate may dispatch requests.
type Target struct {
	Instance   string
	Address    string
	Generation uint64
	// Held is the number of the target's slots that other entries still use.
	Held int
}

// Request describes a request to a Gate.
type Request struct {
	Team string
	// Share is the team's weight in the queue; 1 when 0.
	Share  int
	Urgent bool
	// Deadline is the time by which the request must have a slot; no limit when zero.
	Deadline time.Time
	// Avoid lists the instances to which the request was dispatched before.
	Avoid []string
}

// Limits are the limits of a Gate.
type Limits struct {
	// Slots is the number of requests that one target may run concurrently.
	Slots int
	// Queue is the number of requests that may wait.
	Queue int
	// Moved reports that another entry now runs the service's Gate; waiting requests are refused with KindMoved.
	Moved bool
}

// Gate assigns the slots of one service's targets to requests.
type Gate struct {
	// Clock returns the current time; time.Now when nil.
	Clock func() time.Time
	// After calls f after the duration; time.AfterFunc when nil.
	After func(d time.Duration, f func())
	// HealthChanged is called when a target becomes unhealthy or recovers; may be nil.
	HealthChanged func(instance string, unhealthy bool)

	mu              sync.Mutex
	limits          Limits
	targets         []*targetState
	removed         []*targetState // removed targets that still have requests in flight
	urgent          queue
	ordinary        queue
	rotation        int
	timerSet        bool          // a timer will call wake
	meanServiceTime time.Duration // moving average of successful requests
}

// targetState is a target with its health and the number of its requests in flight.
type targetState struct {
	Target
	health
	inFlight int
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

// Set replaces the limits and the targets. Requests in flight on removed targets are still counted.
func (g *Gate) Set(limits Limits, targets []Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	old := append(g.targets, g.removed...)
	g.targets, g.removed = nil, nil
	for _, t := range targets {
		s := &targetState{Target: t}
		if i := slices.IndexFunc(old, func(o *targetState) bool { return o.Instance == t.Instance }); i >= 0 {
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
		if o.inFlight > 0 {
			g.removed = append(g.removed, o)
		}
	}
	g.grantSlots()
	if len(g.targets) == 0 {
		g.refuseAll(g.noTargetError())
	}
}

// Held returns the number of requests in flight on each removed target, by instance.
func (g *Gate) Held() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.removed) == 0 {
		return nil
	}
	held := make(map[string]int, len(g.removed))
	for _, s := range g.removed {
		held[s.Instance] = s.inFlight
	}
	return held
}

// Load returns the number of requests in flight, of waiting requests, and of slots of all targets.
func (g *Gate) Load() (inFlight, waiting, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.targets {
		inFlight += s.inFlight
	}
	return inFlight, g.urgent.length + g.ordinary.length, len(g.targets) * g.limits.Slots
}

// Spare returns the number of free slots minus the number of waiting requests.
func (g *Gate) Spare() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	spare := -g.urgent.length - g.ordinary.length
	for _, s := range g.targets {
		spare += max(0, s.allowed(g.limits.Slots-s.Held, now)-s.inFlight)
	}
	return spare
}

// Acquire waits for a slot. Its error is a *RefusedError, after which the request must not be dispatched.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Lease, error) {
	w, lease, refused := g.admit(r)
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
		return g.withdraw(w, KindDeadline)
	case <-ctx.Done():
		return g.withdraw(w, KindCancelled)
	}
}

// HasFreeSlot reports whether the request would get a slot without waiting.
func (g *Gate) HasFreeSlot(r Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bypassesQueue(r) && g.pickTarget(r, g.now()) != nil
}

// withdraw removes the request from the queue. A slot that was granted at the same moment passes to the next request.
func (g *Gate) withdraw(w *waiter, kind Kind) (*Lease, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case l := <-w.granted:
		l.state.inFlight--
		g.grantSlots()
	default:
		g.queueOf(w.request).remove(w)
	}
	return nil, &RefusedError{Kind: kind, RetryAfter: g.estimateDrain()}
}

func (g *Gate) queueOf(r Request) *queue {
	if r.Urgent {
		return &g.urgent
	}
	return &g.ordinary
}

// admit grants the request a slot, queues it, or refuses it.
func (g *Gate) admit(r Request) (*waiter, *Lease, *RefusedError) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.targets) == 0 {
		return nil, nil, g.noTargetError()
	}
	now := g.now()
	if g.bypassesQueue(r) {
		if s := g.pickTarget(r, now); s != nil {
			return nil, g.newLease(s, now), nil
		}
	}
	if wait := g.estimateWait(r); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return nil, nil, &RefusedError{Kind: KindDeadline, RetryAfter: wait}
	}
	if g.urgent.length+g.ordinary.length >= g.limits.Queue && !g.evictFor(r) {
		return nil, nil, &RefusedError{Kind: KindFull, RetryAfter: g.estimateDrain()}
	}
	w := &waiter{request: r, granted: make(chan *Lease, 1), refused: make(chan *RefusedError, 1)}
	g.queueOf(r).push(w)
	g.grantSlots()
	g.scheduleWake(now)
	return w, nil, nil
}

// bypassesQueue reports whether no waiting request would be served before the request.
func (g *Gate) bypassesQueue(r Request) bool {
	return g.urgent.length == 0 && (r.Urgent || g.ordinary.length == 0)
}

// evictFor makes room for the request by refusing the latest request of the team with the largest weighted length, and
// reports whether it did.
//
// An urgent request evicts an ordinary one whenever one waits. Among requests of the same priority, one is evicted only when
// the largest weighted length exceeds that of the arriving request's team plus one.
func (g *Gate) evictFor(r Request) bool {
	own := 1.0
	if t := g.queueOf(r).teams[r.Team]; t != nil {
		own += t.weightedLength()
	}
	q := &g.ordinary
	t, length := q.largestTeam()
	if t == nil || (!r.Urgent && length <= own) {
		if !r.Urgent {
			return false
		}
		q = &g.urgent
		if t, length = q.largestTeam(); t == nil || length <= own {
			return false
		}
	}
	last := t.waiting[len(t.waiting)-1]
	q.remove(last)
	last.refused <- &RefusedError{Kind: KindFull, RetryAfter: g.estimateDrain()}
	return true
}

func (g *Gate) noTargetError() *RefusedError {
	if g.limits.Moved {
		return &RefusedError{Kind: KindMoved}
	}
	return &RefusedError{Kind: KindNoTarget}
}

func (g *Gate) refuseAll(e *RefusedError) {
	for _, q := range [...]*queue{&g.urgent, &g.ordinary} {
		for _, t := range q.teams {
			for _, w := range t.waiting {
				w.refused <- e
			}
		}
		*q = queue{}
	}
}

// pickTarget returns the target with the smallest fraction of its allowed slots in use, or nil when none is free.
func (g *Gate) pickTarget(r Request, now time.Time) *targetState {
	var best *targetState
	var bestAllowed int
	for i := range g.targets {
		s := g.targets[(g.rotation+i)%len(g.targets)]
		allowed := s.allowed(g.limits.Slots-s.Held, now)
		if s.inFlight >= allowed || slices.Contains(r.Avoid, s.Instance) {
			continue
		}
		if best == nil || s.inFlight*bestAllowed < best.inFlight*allowed {
			best, bestAllowed = s, allowed
		}
	}
	return best
}

func (g *Gate) newLease(s *targetState, now time.Time) *Lease {
	s.inFlight++
	g.rotation++
	return &Lease{Target: s.Target, gate: g, state: s, since: now}
}

// grantSlots assigns free slots to waiting requests.
func (g *Gate) grantSlots() {
	now := g.now()
	for _, q := range [...]*queue{&g.urgent, &g.ordinary} {
		for q.length > 0 {
			var free *targetState
			w := q.next(func(w *waiter) bool {
				s := g.pickTarget(w.request, now)
				if s != nil {
					free = s
				}
				return s != nil
			})
			if w == nil {
				break
			}
			q.grant(w)
			w.granted <- g.newLease(free, now)
		}
	}
}

// scheduleWake sets a timer for the earliest end of a target's pause, when requests wait. Slots are otherwise assigned only
// when a request ends or arrives, and none may.
func (g *Gate) scheduleWake(now time.Time) {
	var next time.Time
	for _, s := range g.targets {
		if s.pausedUntil.After(now) && (next.IsZero() || s.pausedUntil.Before(next)) {
			next = s.pausedUntil
		}
	}
	if next.IsZero() || g.timerSet || g.urgent.length+g.ordinary.length == 0 {
		return
	}
	g.timerSet = true
	after := g.After
	if after == nil {
		after = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	after(next.Sub(now)+time.Millisecond, g.wake)
}

// wake assigns the slots of targets whose pause has ended.
func (g *Gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerSet = false
	g.grantSlots()
	g.scheduleWake(g.now())
}

// estimateWait estimates how long the request would wait for those that are served before it.
func (g *Gate) estimateWait(r Request) time.Duration {
	ahead := g.urgent.length
	if !r.Urgent {
		ahead += g.ordinary.length
		// Under fair queueing, the first request of a team waits for about one request of each other team.
		if teams := len(g.ordinary.teams) + 1; teams > 1 && g.ordinary.teams[r.Team] == nil {
			ahead = g.urgent.length + teams
		}
	}
	return g.drainTime(ahead)
}

// estimateDrain estimates how long the whole queue takes to drain.
func (g *Gate) estimateDrain() time.Duration {
	return max(10*time.Millisecond, g.drainTime(g.urgent.length+g.ordinary.length))
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
	return time.Duration(requests) * g.meanServiceTime / time.Duration(total)
}

// updateHealth records the result in the target's health and reports whether the target became unhealthy or recovered.
func (g *Gate) updateHealth(s *targetState, r Result, now time.Time) (changed bool) {
	switch r {
	case ResultOK:
		return s.recordSuccess(g.limits.Slots)
	case ResultRefused:
		s.recordRefusal(now)
	case ResultFailed:
		othersHealthy := slices.ContainsFunc(g.targets, func(o *targetState) bool { return o != s && !o.unhealthy })
		changed = s.recordFailure(now, othersHealthy)
		if !othersHealthy {
			for _, o := range g.targets {
				o.clearPause()
			}
		}
	}
	return changed
}

// recordServiceTime updates the moving average of the service time; the latest value has a weight of 1/8.
func (g *Gate) recordServiceTime(d time.Duration) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = d
		return
	}
	g.meanServiceTime += (d - g.meanServiceTime) / 8
}
