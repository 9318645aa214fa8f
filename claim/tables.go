// SPDX-License-Identifier: MIT

package claim

import (
	"container/heap"
	"time"
)

// Claim is one entry's wish to run a request.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Key is the team's name, a slash and the caller's key.
	Key string
	// Digest is a hash of the request, so that a key is not used for two.
	Digest [16]byte
	// NotAfter is when the request must no longer run, in Unix milliseconds; part of the request's identity.
	NotAfter int64
	// Token names this attempt; a copy of the same record has the same token.
	Token string
}

// Completion is what became of a claimed request.
type Completion struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Token string
	// Status is the HTTP status of the whole answer, or 0 to release a claim that was never dispatched.
	Status int
}

// Batch is one record of the claims log.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Time is the platform's clock as the writer last read it, in Unix milliseconds; the largest one is the log's time.
	Time        int64
	Claims      []Claim
	Completions []Completion
}

// Kind tells verdicts apart.
type Kind int

// Kinds of a Verdict.
const (
	Won      Kind = iota // the request may be dispatched by this token's holder
	Open                 // another token holds the key and no completion is known
	Complete             // the request ran and its whole answer was delivered to its entry
	Conflict             // the key is taken by a different request
	Expired              // NotAfter has passed in the log's time, or is too far ahead of it
)

// Verdict is the fold's answer to a claim.
type Verdict struct {
	Kind Kind
	// Status is the HTTP status of the first answer, for Complete.
	Status int
}

// Memory is how long a claim is kept after its NotAfter, in the log's time.
const Memory = 10 * time.Minute

// MaxAhead is the furthest NotAfter that a claim may carry, from the log's time.
const MaxAhead = 15 * time.Minute

type row struct {
	claim  Claim
	status int
}

// Tables is the state that every entry folds from the claims log; the zero value is empty.
type Tables struct {
	rows map[string]*row
	// now is the log's time, the largest Batch.Time folded.
	now   int64
	byEnd expiryQueue
}

// Len returns the number of claims kept.
func (t *Tables) Len() int { return len(t.rows) }

// Now returns the log's time in Unix milliseconds.
func (t *Tables) Now() int64 { return t.now }

// Apply folds the batch and calls decided with each claim's verdict.
func (t *Tables) Apply(b Batch, decided func(Claim, Verdict)) {
	t.now = max(t.now, b.Time)
	t.drop()
	for _, c := range b.Claims {
		decided(c, t.claim(c))
	}
	for _, c := range b.Completions {
		t.complete(c)
	}
}

// Look returns what is known of the claim's key, and false when nothing is.
func (t *Tables) Look(c Claim) (Verdict, bool) {
	r := t.rows[c.Key]
	if r == nil {
		return Verdict{}, false
	}
	return r.verdict(c), true
}

func (t *Tables) claim(c Claim) Verdict {
	if r := t.rows[c.Key]; r != nil {
		return r.verdict(c)
	}
	if c.NotAfter <= t.now || c.NotAfter > t.now+MaxAhead.Milliseconds() {
		return Verdict{Kind: Expired}
	}
	if t.rows == nil {
		t.rows = make(map[string]*row)
	}
	t.rows[c.Key] = &row{claim: c}
	heap.Push(&t.byEnd, expiry{c.NotAfter, c.Key, c.Token})
	return Verdict{Kind: Won}
}

func (r *row) verdict(c Claim) Verdict {
	switch {
	case r.claim.Digest != c.Digest || r.claim.NotAfter != c.NotAfter:
		return Verdict{Kind: Conflict}
	case r.status != 0:
		return Verdict{Kind: Complete, Status: r.status}
	case r.claim.Token == c.Token:
		return Verdict{Kind: Won}
	}
	return Verdict{Kind: Open}
}

func (t *Tables) complete(c Completion) {
	r := t.rows[c.Key]
	if r == nil || r.claim.Token != c.Token || r.status != 0 {
		return
	}
	if c.Status == 0 {
		delete(t.rows, c.Key)
		return
	}
	r.status = c.Status
}

func (t *Tables) drop() {
	for len(t.byEnd) > 0 && t.byEnd[0].notAfter+Memory.Milliseconds() <= t.now {
		e := heap.Pop(&t.byEnd).(expiry)
		if r := t.rows[e.key]; r != nil && r.claim.Token == e.token {
			delete(t.rows, e.key)
		}
	}
}

type expiry struct {
	notAfter   int64
	key, token string
}

type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].notAfter < q[j].notAfter }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds x; it is called by container/heap.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop removes the last element; it is called by container/heap.
func (q *expiryQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
