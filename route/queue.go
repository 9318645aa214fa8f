// SPDX-License-Identifier: MIT

package route

// queue holds waiting requests of one urgency, by team.
type queue struct {
	teams map[string]*teamQueue
	// clock is the start tag of the latest request that left, in shares.
	clock float64
	n     int
}

// teamQueue is one team's waiting requests in the order of their arrival.
type teamQueue struct {
	waiting []*waiter
	// next is the start tag of the team's first waiting request.
	next float64
}

func (q *queue) push(w *waiter) {
	if q.teams == nil {
		q.teams = make(map[string]*teamQueue)
	}
	t := q.teams[w.request.Team]
	if t == nil {
		t = &teamQueue{}
		q.teams[w.request.Team] = t
	}
	if len(t.waiting) == 0 {
		t.next = max(t.next, q.clock)
	}
	t.waiting = append(t.waiting, w)
	q.n++
}

// first returns the waiting request that leaves next among those that fit, or nil.
//
// The team with the least start tag goes first (start-time fair queueing).
func (q *queue) first(fits func(*waiter) bool) *waiter {
	var best *teamQueue
	var found *waiter
	var bestName string
	for name, t := range q.teams {
		if best != nil && (t.next > best.next || (t.next == best.next && name > bestName)) {
			continue
		}
		for _, w := range t.waiting {
			if fits(w) {
				best, found, bestName = t, w, name
				break
			}
		}
	}
	return found
}

// granted removes a request that got a slot and charges its team.
func (q *queue) granted(w *waiter) {
	t := q.teams[w.request.Team]
	q.clock = max(q.clock, t.next)
	t.next += 1 / float64(max(1, w.request.Share))
	q.remove(w)
}

func (q *queue) remove(w *waiter) {
	t := q.teams[w.request.Team]
	if t == nil {
		return
	}
	for i, other := range t.waiting {
		if other != w {
			continue
		}
		t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
		q.n--
		break
	}
	if len(t.waiting) == 0 && t.next <= q.clock {
		delete(q.teams, w.request.Team)
	}
}

// longest returns the team that holds the most places for its share, and how many; nil when nobody waits.
//
// Of teams that hold equally many, the first by name is returned.
func (q *queue) longest() (t *teamQueue, places float64) {
	var longestName string
	for name, other := range q.teams {
		n := other.places()
		if n == 0 || n < places || (n == places && name > longestName) {
			continue
		}
		t, places, longestName = other, n, name
	}
	return t, places
}

func (t *teamQueue) places() float64 {
	if len(t.waiting) == 0 {
		return 0
	}
	return float64(len(t.waiting)) / float64(max(1, t.waiting[0].request.Share))
}
