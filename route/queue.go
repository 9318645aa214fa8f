// SPDX-License-Identifier: MIT

package route

// queue holds the waiting requests of one priority, by team; it implements start-time fair queueing.
type queue struct {
	teams map[string]*teamQueue
	// virtualTime is the largest start tag of the requests granted so far.
	virtualTime float64
	length      int
}

// teamQueue holds one team's waiting requests in the order of their arrival.
type teamQueue struct {
	waiting []*waiter
	// startTag is the virtual start time of the team's first waiting request.
	startTag float64
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
		t.startTag = max(t.startTag, q.virtualTime)
	}
	t.waiting = append(t.waiting, w)
	q.length++
}

// next returns the request that is to be granted next among those that fit, or nil.
//
// The team with the smallest start tag is served first; of teams with equal tags, the first by name.
func (q *queue) next(fits func(*waiter) bool) *waiter {
	var best *teamQueue
	var found *waiter
	var bestName string
	for name, t := range q.teams {
		if best != nil && (t.startTag > best.startTag || (t.startTag == best.startTag && name > bestName)) {
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

// grant removes a request that got a slot and advances its team's start tag by the inverse of its share.
func (q *queue) grant(w *waiter) {
	t := q.teams[w.request.Team]
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += 1 / float64(max(1, w.request.Share))
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
		q.length--
		break
	}
	if len(t.waiting) == 0 && t.startTag <= q.virtualTime {
		delete(q.teams, w.request.Team)
	}
}

// largestTeam returns the team with the largest weighted length, and that length; nil when the queue is empty.
//
// Of teams with equal lengths, the first by name is returned.
func (q *queue) largestTeam() (t *teamQueue, length float64) {
	var largestName string
	for name, other := range q.teams {
		n := other.weightedLength()
		if n == 0 || n < length || (n == length && name > largestName) {
			continue
		}
		t, length, largestName = other, n, name
	}
	return t, length
}

// weightedLength returns the number of waiting requests divided by the team's share.

func (t *teamQueue) weightedLength() float64 {
	if len(t.waiting) == 0 {
		return 0
	}
	return float64(len(t.waiting)) / float64(max(1, t.waiting[0].request.Share))
}
