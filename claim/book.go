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

// ErrNotClaimed means that the claim was not seen in the log in time, so the request was not dispatched by this entry.
var ErrNotClaimed = errors.New("the claims log gave no verdict in time; the request did not run here, send it again with the same key")

// Registry is an entry's view of the claims log and its writer.
type Registry struct {
	// Append adds one record to the claims log; it returns feed.ErrUnavailable when the record was not added.
	Append func(ctx context.Context, data []byte) error
	// Interval is the least time between two appends; 30ms when 0. See SetEntries.
	Interval time.Duration
	// MaxBatch bounds the claims and completions of one append; 512 when 0.
	MaxBatch int
	// Clock returns the current time; time.Now when nil.
	Clock func() time.Time

	mu        sync.Mutex
	tables    Tables
	ready     bool
	waiting   map[string]*waiter
	entries   int // that share the log
	claims    []Claim
	ends      []Completion
	abandoned map[string]bool // tokens whose verdict nobody waits for any more
	waken     chan struct{}
	retryAt   time.Time // after a failed append: when the next claim may try the log
	uncertain bool      // the last append gave no answer
	since     int64     // claims with a NotAfter up to here may be missing from the tables
}

type waiter struct {
	verdict chan Verdict
	failed  chan error
}

// Defaults of a Book.
const (
	DefaultInterval = 30 * time.Millisecond
	DefaultBatch    = 512
	// SiteAppends bounds the appends a second of all entries together.
	SiteAppends = 300
	// RetryPause is how long claims are refused at once after an append that failed.
	RetryPause = time.Second
	// clockSlack bounds how far two entries' readings of the platform's clock differ.
	clockSlack = time.Minute
)

func (b *Registry) now() time.Time {
	if b.Clock != nil {
		return b.Clock()
	}
	return time.Now()
}

// StartAt says that the log was read from the offset on, where this record stands.
//
// Claims in records that the log has dropped can't be seen. A key whose NotAfter could be theirs is not claimed here.
func (b *Registry) StartAt(offset int64, first []byte) {
	if offset == 0 {
		return
	}
	at := b.now().UnixMilli()
	if batch, err := DecodeBatch(first); err == nil {
		at = batch.Time
	}
	b.notBefore(at)
}

// Gap says that records were dropped before this entry read them.
func (b *Registry) Gap() { b.notBefore(b.now().UnixMilli()) }

// notBefore refuses claims that could have been made before the time, in Unix milliseconds.
func (b *Registry) notBefore(at int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = max(b.since, at+(MaxAhead+clockSlack).Milliseconds())
}

// SetReady says whether the book has read the log up to its end; until then every claim is refused.
func (b *Registry) SetReady(ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Len returns the number of claims kept.
func (b *Registry) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tables.Len()
}

// Lookup returns what is known of the claim's key, and false when nothing is.
func (b *Registry) Lookup(c Claim) (Verdict, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tables.Look(c)
}

// Claim asks the log for the key and waits for the verdict; it fails with ErrNotClaimed when none comes in time.
//
// After an error the caller must not dispatch the request.
func (b *Registry) Claim(ctx context.Context, c Claim) (Verdict, error) {
	w, verdict, err := b.enqueue(c)
	if w == nil {
		return verdict, err
	}
	select {
	case v := <-w.verdict:
		return v, nil
	case err := <-w.failed:
		return Verdict{}, err
	case <-ctx.Done():
		return b.abandon(c, w, ctx.Err())
	}
}

func (b *Registry) enqueue(c Claim) (*waiter, Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.tables.Look(c); ok && v.Kind != Won {
		return nil, v, nil
	}
	if err := b.refused(c); err != nil {
		return nil, Verdict{}, err
	}
	if b.waiting == nil {
		b.waiting = make(map[string]*waiter)
	}
	w := &waiter{verdict: make(chan Verdict, 1), failed: make(chan error, 1)}
	b.waiting[c.Token] = w
	b.claims = append(b.claims, c)
	b.notify()
	return w, Verdict{}, nil
}

// refused says why the claim can't be asked for now, or returns nil.
func (b *Registry) refused(c Claim) error {
	now := b.now()
	switch {
	case !b.ready:
		return fmt.Errorf("%w: the claims log has not been read to its end yet", ErrNotClaimed)
	case c.NotAfter > now.Add(MaxAhead).UnixMilli():
		return fmt.Errorf("%w: not-after is more than %s ahead", ErrNotClaimed, MaxAhead)
	case c.NotAfter <= b.since:
		return fmt.Errorf("%w: the log no longer keeps every claim that could carry this not-after", ErrNotClaimed)
	case now.Before(b.retryAt):
		return fmt.Errorf("%w: the log is not reachable", ErrNotClaimed)
	}
	if !b.retryAt.IsZero() {
		b.retryAt = now.Add(RetryPause) // this claim tries the log for all
	}
	return nil
}

// abandon gives the claim up, so that a later copy of the request may run: it is not appended, or released when it wins.
func (b *Registry) abandon(c Claim, w *waiter, cause error) (Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case v := <-w.verdict:
		if v.Kind != Won {
			return v, nil
		}
		b.end(Completion{Key: c.Key, Token: c.Token})
	default:
		b.forget(c)
	}
	delete(b.waiting, c.Token)
	return Verdict{}, fmt.Errorf("%w: %w", ErrNotClaimed, cause)
}

// maxAbandoned bounds the claims that were given up and may still win.
const maxAbandoned = 10_000

// forget takes a claim out of those to be appended, or remembers it until its verdict comes.
func (b *Registry) forget(c Claim) {
	before := len(b.claims)
	b.claims = slices.DeleteFunc(b.claims, func(o Claim) bool { return o.Token == c.Token })
	if len(b.claims) < before {
		return
	}
	if b.abandoned == nil || len(b.abandoned) >= maxAbandoned {
		b.abandoned = make(map[string]bool) // a claim that is lost here stays unknown until it is dropped
	}
	b.abandoned[c.Token] = true
}

// Complete records the whole answer's status for a claim that this entry won.
func (b *Registry) Complete(c Claim, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(Completion{Key: c.Key, Token: c.Token, Status: status})
}

// Release gives a claim back that this entry won and has not dispatched and never will.
func (b *Registry) Release(c Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(Completion{Key: c.Key, Token: c.Token})
}

// maxEnds bounds the completions that wait for the log while it is down; a lost one leaves its claim unknown.
const maxEnds = 100_000

func (b *Registry) end(c Completion) {
	if len(b.ends) < maxEnds {
		b.ends = append(b.ends, c)
	}
	b.notify()
}

// Fold applies a record of the claims log; records come in the log's order, each once.
func (b *Registry) Fold(data []byte) error {
	batch, err := DecodeBatch(data)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tables.Apply(batch, b.decided)
	return nil
}

func (b *Registry) decided(c Claim, v Verdict) {
	if b.abandoned[c.Token] {
		delete(b.abandoned, c.Token)
		if v.Kind == Won {
			b.end(Completion{Key: c.Key, Token: c.Token})
		}
	}
	if w := b.waiting[c.Token]; w != nil {
		delete(b.waiting, c.Token)
		w.verdict <- v
		b.retryAt, b.uncertain = time.Time{}, false // the log gives back what it was given
	}
}

// Run appends what waits until the context ends and returns its error.
func (b *Registry) Run(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake():
		}
		if !b.holding() {
			b.flush(ctx)
		}
		pause.Reset(b.interval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		}
	}
}

// wake returns a channel that is ready when something waits to be appended.
func (b *Registry) wake() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waken == nil {
		b.waken = make(chan struct{}, 1)
	}
	if len(b.claims) > 0 || len(b.ends) > 0 {
		b.notify()
	}
	return b.waken
}

// notify wakes Run; the caller holds mu.
func (b *Registry) notify() {
	select {
	case b.waken <- struct{}{}:
	default:
	}
}

// SetEntries says how many entries share the log, so that all together stay within SiteAppends.
func (b *Registry) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = n
}

func (b *Registry) interval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := b.Interval
	if least == 0 {
		least = DefaultInterval
	}
	return max(least, time.Duration(b.entries)*time.Second/SiteAppends)
}

// holding says that only completions wait and the log was not reachable a moment ago.
func (b *Registry) holding() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.claims) == 0 && b.now().Before(b.retryAt)
}

func (b *Registry) flush(ctx context.Context) {
	batch := b.take()
	if len(batch.Claims) == 0 && len(batch.Completions) == 0 {
		return
	}
	data, err := batch.Encode()
	if err == nil {
		err = b.Append(ctx, data)
	}
	b.appended(batch, err)
}

func (b *Registry) take() Batch {
	limit := b.MaxBatch
	if limit == 0 {
		limit = DefaultBatch
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := Batch{Time: b.now().UnixMilli()}
	n := min(limit, len(b.claims))
	batch.Claims, b.claims = b.claims[:n:n], b.claims[n:]
	m := min(limit, len(b.ends))
	batch.Completions, b.ends = b.ends[:m:m], b.ends[m:]
	return batch
}

// appended fails the waiters of a batch that is certainly not in the log and keeps its completions for later.
func (b *Registry) appended(batch Batch, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.retryAt, b.uncertain = time.Time{}, false
		return
	}
	if errors.Is(err, feed.ErrUncertain) && !b.uncertain {
		b.uncertain = true // one lost answer does not mean that the log is down
	} else {
		b.retryAt = b.now().Add(RetryPause)
	}
	// A completion is harmless when it comes twice, so it is sent again.
	b.ends = append(batch.Completions, b.ends...)
	if !errors.Is(err, feed.ErrUnavailable) {
		return // the batch may be in the log: its waiters wait for the verdict
	}
	for _, c := range append(batch.Claims, b.claims...) {
		if w := b.waiting[c.Token]; w != nil {
			delete(b.waiting, c.Token)
			w.failed <- fmt.Errorf("%w: %w", ErrNotClaimed, err)
		}
	}
	b.claims = nil
}
