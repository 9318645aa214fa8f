// SPDX-License-Identifier: MIT

package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rackstep.dev/feed"
)

// ErrNotClaimed means that this entry got no verdict on the claim in time and did not dispatch the request.
var ErrNotClaimed = errors.New("the claims log gave no verdict in time; the request did not run here, send it again with the same key")

// Registry acquires, completes and releases claims for one entry: it applies the claims log and appends to it.
type Registry struct {
	// Append appends one record to the claims log. It returns feed.ErrUnavailable when the record was certainly not appended;
	// after any other error it may have been.
	Append func(ctx context.Context, data []byte) error
	// Interval is the minimum time between two appends; DefaultInterval when 0. SetEntries may lengthen it.
	Interval time.Duration
	// MaxBatch is the maximum number of claims, and of completions, in one append; DefaultMaxBatch when 0.
	MaxBatch int
	// Clock returns the current time; time.Now when nil.
	Clock func() time.Time

	mu             sync.Mutex
	tables         Tables
	ready          bool
	waiting        map[string]*waiter
	entries        int // that share the log
	claims         []Claim
	completions    []Completion
	abandoned      map[string]bool // tokens whose verdict nobody waits for any more
	wakeup         chan struct{}
	retryAt        time.Time // after a failed append: the time from which one claim may try the log again
	uncertain      bool      // the result of the last append is unknown
	incompleteUpTo int64     // claims with a NotAfter up to here may be missing from the tables
}

// waiter receives the verdict on a claim, or the error of its append.
type waiter struct {
	verdict chan Verdict
	failed  chan error
}

// Defaults and limits of a Registry.
const (
	DefaultInterval = 30 * time.Millisecond
	DefaultMaxBatch = 512
	// MaxSiteAppends is the maximum number of appends a second by all entries together.
	MaxSiteAppends = 300
	// RetryPause is how long claims are refused immediately after a failed append.
	RetryPause = time.Second
	// maxClockSkew is the largest assumed difference between two entries' readings of the platform's clock.
	maxClockSkew = time.Minute
)

func (r *Registry) now() time.Time {
	if r.Clock != nil {
		return r.Clock()
	}
	return time.Now()
}

// StartAt reports that reading began at the offset, with the given first record.
//
// When earlier records were dropped from the log, their claims are unknown. Claims whose NotAfter is early enough that such a
// claim could hold the same key are refused.
func (r *Registry) StartAt(offset int64, first []byte) {
	if offset == 0 {
		return
	}
	at := r.now().UnixMilli()
	if batch, err := DecodeBatch(first); err == nil {
		at = batch.Time
	}
	r.refuseUpTo(at)
}

// Gap reports that the log dropped records before this entry read them.
func (r *Registry) Gap() { r.refuseUpTo(r.now().UnixMilli()) }

// refuseUpTo refuses every claim whose key could have been claimed before the time, in Unix milliseconds.
func (r *Registry) refuseUpTo(at int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incompleteUpTo = max(r.incompleteUpTo, at+(MaxAhead+maxClockSkew).Milliseconds())
}

// SetReady reports whether the log has been read to its end; claims are refused while it has not.
func (r *Registry) SetReady(ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = ready
}

// Len returns the number of claims kept.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tables.Len()
}

// Lookup returns the verdict on the claim without acquiring its key, and false when nobody holds the key.
func (r *Registry) Lookup(c Claim) (Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tables.Lookup(c)
}

// Claim appends the claim to the log and waits for the verdict. It returns ErrNotClaimed when there is none in time.
//
// After an error, the caller must not dispatch the request.
func (r *Registry) Claim(ctx context.Context, c Claim) (Verdict, error) {
	w, verdict, err := r.enqueue(c)
	if w == nil {
		return verdict, err
	}
	select {
	case v := <-w.verdict:
		return v, nil
	case err := <-w.failed:
		return Verdict{}, err
	case <-ctx.Done():
		return r.giveUp(c, w, ctx.Err())
	}
}

// enqueue queues the claim and returns its waiter, or returns a verdict or an error when the claim need not be appended.
func (r *Registry) enqueue(c Claim) (*waiter, Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.tables.Lookup(c); ok && v.Kind != Won {
		return nil, v, nil
	}
	if err := r.checkClaimable(c); err != nil {
		return nil, Verdict{}, err
	}
	if r.waiting == nil {
		r.waiting = make(map[string]*waiter)
	}
	w := &waiter{verdict: make(chan Verdict, 1), failed: make(chan error, 1)}
	r.waiting[c.Token] = w
	r.claims = append(r.claims, c)
	r.signal()
	return w, Verdict{}, nil
}

// checkClaimable returns the reason for which the claim can't be appended now, or nil. mu must be held.
func (r *Registry) checkClaimable(c Claim) error {
	now := r.now()
	switch {
	case !r.ready:
		return fmt.Errorf("%w: the claims log has not been read to its end yet", ErrNotClaimed)
	case c.NotAfter > now.Add(MaxAhead).UnixMilli():
		return fmt.Errorf("%w: not-after is more than %s ahead", ErrNotClaimed, MaxAhead)
	case c.NotAfter <= r.incompleteUpTo:
		return fmt.Errorf("%w: the log no longer keeps every claim that could carry this not-after", ErrNotClaimed)
	case now.Before(r.retryAt):
		return fmt.Errorf("%w: the log is not reachable", ErrNotClaimed)
	}
	if !r.retryAt.IsZero() {
		r.retryAt = now.Add(RetryPause) // only this claim tries the log; others are refused until it succeeds
	}
	return nil
}

// giveUp abandons the claim so that a later copy of the request can run: the claim is not appended if it has not been yet, and
// otherwise released if it wins.
func (r *Registry) giveUp(c Claim, w *waiter, cause error) (Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case v := <-w.verdict:
		if v.Kind != Won {
			return v, nil
		}
		r.enqueueCompletion(Completion{Key: c.Key, Token: c.Token})
	default:
		r.withdraw(c)
	}
	delete(r.waiting, c.Token)
	return Verdict{}, fmt.Errorf("%w: %w", ErrNotClaimed, cause)
}

// maxAbandoned is the maximum number of abandoned claims that are tracked because they may still win.
const maxAbandoned = 10_000

// withdraw removes a claim that has not been appended, or else tracks it as abandoned until its verdict is known.
func (r *Registry) withdraw(c Claim) {
	before := len(r.claims)
	r.claims = slices.DeleteFunc(r.claims, func(o Claim) bool { return o.Token == c.Token })
	if len(r.claims) < before {
		return
	}
	if r.abandoned == nil || len(r.abandoned) >= maxAbandoned {
		r.abandoned = make(map[string]bool) // a claim that wins untracked stays unknown until it expires
	}
	r.abandoned[c.Token] = true
}

// Complete records the status of the complete response for a claim that this entry won.
func (r *Registry) Complete(c Claim, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enqueueCompletion(Completion{Key: c.Key, Token: c.Token, Status: status})
}

// Release releases a claim that this entry won, if the request has not been dispatched and never will be.
func (r *Registry) Release(c Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enqueueCompletion(Completion{Key: c.Key, Token: c.Token})
}

// maxPendingCompletions is the maximum number of completions that wait for the log. Further ones are discarded, and their
// claims stay unknown.
const maxPendingCompletions = 100_000

// enqueueCompletion queues the completion for the next append. mu must be held.
func (r *Registry) enqueueCompletion(c Completion) {
	if len(r.completions) < maxPendingCompletions {
		r.completions = append(r.completions, c)
	}
	r.signal()
}

// Apply applies a record of the claims log. Every record must be applied once, in the order of the log.
func (r *Registry) Apply(data []byte) error {
	batch, err := DecodeBatch(data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables.Apply(batch, r.deliver)
	return nil
}

// deliver passes the verdict to the waiter, or releases an abandoned claim that won. mu must be held.
func (r *Registry) deliver(c Claim, v Verdict) {
	if r.abandoned[c.Token] {
		delete(r.abandoned, c.Token)
		if v.Kind == Won {
			r.enqueueCompletion(Completion{Key: c.Key, Token: c.Token})
		}
	}
	if w := r.waiting[c.Token]; w != nil {
		delete(r.waiting, c.Token)
		w.verdict <- v
		r.retryAt, r.uncertain = time.Time{}, false // the append reached the log
	}
}

// Run appends pending claims and completions until the context ends and returns the context's error.
func (r *Registry) Run(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wakeups():
		}
		if !r.backingOff() {
			r.flush(ctx)
		}
		pause.Reset(r.interval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		}
	}
}

// wakeups returns a channel that is readable when claims or completions are pending.
func (r *Registry) wakeups() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wakeup == nil {
		r.wakeup = make(chan struct{}, 1)
	}
	if len(r.claims) > 0 || len(r.completions) > 0 {
		r.signal()
	}
	return r.wakeup
}

// signal wakes Run. mu must be held.
func (r *Registry) signal() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// SetEntries sets the number of entries that share the log. The interval between appends is chosen so that all entries
// together stay within MaxSiteAppends.
func (r *Registry) SetEntries(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = n
}

func (r *Registry) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := r.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	return max(interval, time.Duration(r.entries)*time.Second/MaxSiteAppends)
}

// backingOff reports whether only completions are pending and the pause after a failed append has not ended.
func (r *Registry) backingOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.claims) == 0 && r.now().Before(r.retryAt)
}

func (r *Registry) flush(ctx context.Context) {
	batch := r.nextBatch()
	if len(batch.Claims) == 0 && len(batch.Completions) == 0 {
		return
	}
	data, err := batch.Encode()
	if err == nil {
		err = r.Append(ctx, data)
	}
	r.finishAppend(batch, err)
}

func (r *Registry) nextBatch() Batch {
	limit := r.MaxBatch
	if limit == 0 {
		limit = DefaultMaxBatch
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := Batch{Time: r.now().UnixMilli()}
	n := min(limit, len(r.claims))
	batch.Claims, r.claims = r.claims[:n:n], r.claims[n:]
	m := min(limit, len(r.completions))
	batch.Completions, r.completions = r.completions[:m:m], r.completions[m:]
	return batch
}

// finishAppend handles the result of an append. When the batch is certainly not in the log, it fails all waiters of claims that
// have not been appended; after any error, it queues the batch's completions again.
func (r *Registry) finishAppend(batch Batch, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.retryAt, r.uncertain = time.Time{}, false
		return
	}
	if errors.Is(err, feed.ErrUncertain) && !r.uncertain {
		r.uncertain = true // a single lost response does not mean that the log is down
	} else {
		r.retryAt = r.now().Add(RetryPause)
	}
	// Completions are idempotent, so they are appended again even when the batch may be in the log.
	r.completions = append(batch.Completions, r.completions...)
	if !errors.Is(err, feed.ErrUnavailable) {
		return // the batch may be in the log: its waiters keep waiting for the verdict
	}
	for _, c := range append(batch.Claims, r.claims...) {
		if w := r.waiting[c.Token]; w != nil {
			delete(r.waiting, c.Token)
			w.failed <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		}
	}
	r.claims = nil
}
