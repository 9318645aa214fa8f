// SPDX-License-Identifier: MIT

package claim

import (
	"container/heap"
	"time"
)

// Claim is an entry's attempt to acquire the key of a request.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Key is the team's name, a slash and the caller's key.
	Key string
	// Digest is a hash of the request; it detects that a key is used for two different requests.
	Digest [16]byte
	// NotAfter is the time after which the request must not run, in Unix milliseconds. It is part of the request's identity.
	NotAfter int64
	// Token identifies this attempt; a duplicate of the same record has the same token.
	Token string
}

// Completion records the result of a claimed request, or releases its claim.
type Completion struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Token string
	// Status is the HTTP status of the complete response, or 0 to release a claim whose request was never dispatched.
	Status int
}

// Batch is one record of the claims log.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Time is the platform's time as last read by the writer, in Unix milliseconds. The largest Time in the log is the log's
	// time.
	Time        int64
	Claims      []Claim
	Completions []Completion
}

// Kind is the kind of a Verdict.
type Kind int

// Kinds of a Verdict.
const (
	Won      Kind = iota // the holder of this token may dispatch the request
	Open                 // another token holds the key and no completion is known
	Complete             // the request ran and the entry that dispatched it received the complete response
	Conflict             // a different request holds the key
	Expired              // NotAfter has passed in the log's time, or is too far ahead of it
)

// Verdict is the result of applying a claim to the tables.
type Verdict struct {
	Kind Kind
	// Status is the HTTP status of the first response; set for Complete.
	Status int
}

// Retention is how long a claim is kept after its NotAfter, measured in the log's time.
const Retention = 10 * time.Minute

// MaxAhead is how far the NotAfter of a claim may lie ahead of the log's time.
const MaxAhead = 15 * time.Minute

// claimState is the winning claim of a key and the status of its completion, 0 when there is none.
type claimState struct {
	claim  Claim
	status int
}

// Tables is the state that every entry builds from the claims log; the zero value is empty.
type Tables struct {
	claims map[string]*claimState
	// logTime is the largest Batch.Time applied.
	logTime  int64
	expiries expiryQueue
}

// Len returns the number of claims kept.
func (t *Tables) Len() int { return len(t.claims) }

// Now returns the log's time in Unix milliseconds.
func (t *Tables) Now() int64 { return t.logTime }

// Apply applies the batch and calls deliver with the verdict of each claim.
func (t *Tables) Apply(b Batch, deliver func(Claim, Verdict)) {
	t.logTime = max(t.logTime, b.Time)
	t.dropExpired()
	for _, c := range b.Claims {
		deliver(c, t.claim(c))
	}
	for _, c := range b.Completions {
		t.complete(c)
	}
}

// Lookup returns the verdict on the claim without acquiring its key, and false when nobody holds the key.
func (t *Tables) Lookup(c Claim) (Verdict, bool) {
	r := t.claims[c.Key]
	if r == nil {
		return Verdict{}, false
	}
	return r.verdict(c), true
}

// claim acquires the key unless it is held or the claim has expired, and returns the verdict.
func (t *Tables) claim(c Claim) Verdict {
	if r := t.claims[c.Key]; r != nil {
		return r.verdict(c)
	}
	if c.NotAfter <= t.logTime || c.NotAfter > t.logTime+MaxAhead.Milliseconds() {
		return Verdict{Kind: Expired}
	}
	if t.claims == nil {
		t.claims = make(map[string]*claimState)
	}
	t.claims[c.Key] = &claimState{claim: c}
	heap.Push(&t.expiries, expiry{c.NotAfter, c.Key, c.Token})
	return Verdict{Kind: Won}
}

func (r *claimState) verdict(c Claim) Verdict {
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

// complete stores the status of the completion, or releases the claim. It ignores a completion by another token than the holder's
// and any further one.
func (t *Tables) complete(c Completion) {
	r := t.claims[c.Key]
	if r == nil || r.claim.Token != c.Token || r.status != 0 {
		return
	}
	if c.Status == 0 {
		delete(t.claims, c.Key)
		return
	}
	r.status = c.Status
}

// dropExpired removes the claims whose retention has ended in the log's time.
func (t *Tables) dropExpired() {
	for len(t.expiries) > 0 && t.expiries[0].notAfter+Retention.Milliseconds() <= t.logTime {
		e := heap.Pop(&t.expiries).(expiry)
		if r := t.claims[e.key]; r != nil && r.claim.Token == e.token {
			delete(t.claims, e.key)
		}
	}
}

// expiry is an element of expiryQueue.
type expiry struct {
	notAfter   int64
	key, token string
}

// expiryQueue is a heap of claims, ordered by their NotAfter.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].notAfter < q[j].notAfter }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
