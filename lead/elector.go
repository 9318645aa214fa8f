// SPDX-License-Identifier: MIT

package lead

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
)

// Timings of the election.
const (
	// renewInterval is the time between the starts of two renewals. Each renewal costs one write and wakes every entry once.
	renewInterval = 350 * time.Millisecond
	// electionTimeout is how long candidates wait for a renewal. It allows for three missed renewals.
	electionTimeout = 1100 * time.Millisecond
	// maxReadWait bounds the long poll for a renewal.
	maxReadWait = time.Second
	// minReadWait is the shortest long poll.
	minReadWait = 30 * time.Millisecond
	// followerReadPause is the pause after each renewal at an entry that defers to larger ones, so that it reads about every
	// second renewal. It is below electionTimeout, so that a read is already open when a renewal fails to arrive.
	followerReadPause = 700 * time.Millisecond
	// callTimeout bounds a call to the store, in addition to the wait that the call asks for.
	callTimeout = 700 * time.Millisecond
	// RenewTimeout is how long the first attempt of a renewal waits for its answer before the renewal is sent again. Together
	// with renewInterval it is below electionTimeout, so that one lost answer does not end a term. The first attempt is
	// cancelled then, so that its route to the store is marked as failed and the next attempt takes another one.
	RenewTimeout = 450 * time.Millisecond
	// renewCallTimeout bounds the later attempts, which run concurrently. It is long because a store that takes a second to
	// answer must still be able to confirm a renewal: with 0.45 s for every attempt, leaders lost leadership whenever the
	// store was slow.
	renewCallTimeout = 2500 * time.Millisecond
	// renewalTransit is the time between the store's accepting a renewal and an entry's reading it, on a healthy machine.
	renewalTransit = 100 * time.Millisecond
	// renewRetryPause is the pause after a renewal that failed at once.
	renewRetryPause = 50 * time.Millisecond
	// maxRenewalsInFlight bounds the concurrent attempts of one renewal.
	maxRenewalsInFlight = 4
	// maxReadDelay bounds the measured delay of reads by which candidates extend electionTimeout.
	maxReadDelay = time.Second
	// retakePause keeps an entry that lost leadership from taking it back while workers may still receive messages of both leaders.
	retakePause = 4 * time.Second
	// handOverPause is how long an entry that has handed over leaves the next term to others, which normally take it at once.
	handOverPause = time.Second
	// maxJitter spreads the attempts of candidates over time. An entry with less weight than the largest leader so far waits
	// up to weightDelay longer, in proportion to the difference. Before the first term there is more time, and an entry
	// waits up to firstTermDelay in proportion to what its weight lacks of 1.
	maxJitter      = 80 * time.Millisecond
	weightDelay    = 300 * time.Millisecond
	firstTermDelay = time.Second
	// ConfirmedFor is how long a renewal proves that no other entry leads, counted from when it was sent. It is below
	// electionTimeout.
	ConfirmedFor = time.Second
)

// key is the only key of the topic.
const key = "leader"

// writer is the name under which leaders write to the store, which fences earlier terms by it.
const writer = "leader"

// Elector takes part in the election on behalf of one entry.
type Elector struct {
	// Entry, Address and Boot are published in the leader's record while this entry leads.
	Entry, Address, Boot string
	Topic                feed.Topic
	// Weight is the entry's processor share in cores; entries with more weight are preferred as leader.
	Weight float64
	Events *event.Ring
	// Clock measures confirmations and timeouts; the steady clock when nil.
	Clock *clock.Clock
	// Serve does the leader's work until its context ends. It is called once for each term that this entry wins.
	Serve func(ctx context.Context, t Term)
	// OnRecord is called with every new leader's record that differs from the one before, from one goroutine.
	OnRecord func(r Record)
	// Eligible reports whether this entry may become leader now; always true when nil.
	Eligible func() bool

	mu            sync.Mutex
	latest        Record
	end           int64
	lastHeard     time.Time     // start of the election timeout: when a leader's record was last read, or a read last failed
	renewedAt     time.Time     // when the newest renewal was read, or the latest time at which it can have arrived
	renewalOffset int64         // offset of the newest renewal
	startedAt     time.Time     // when Run was called
	readDelay     time.Duration // by how much the latest empty read exceeded its wait
	failingSince  time.Time     // when the first call of the current run of failed calls was made; zero while calls succeed
	lastOutage    time.Time     // when the latest outage of the store ended, see outageThreshold
	jitter        time.Duration
	notBefore     time.Time
	cancelTerm    context.CancelFunc
	fence         int64
	confirmedAt   time.Time
	resigned      bool
	// handingOver is set when this term is being given up and the next is left to other entries.
	handingOver bool
	// unstored is published with the next renewal; unstoredPublished is set once the store has accepted it. renewNow
	// starts the next renewal without waiting.
	unstored, unstoredPublished bool
	renewNow                    chan struct{}
	readNow                     chan struct{} // ends pauseBeforeRead
	// predecessorsActive and predecessorsUnstored are published about the leaders before this one.
	predecessorsActive, predecessorsUnstored bool
}

// Confirmed reports whether a recent renewal proves that this entry still leads.
func (e *Elector) Confirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.ExactNow().Sub(e.confirmedAt) < ConfirmedFor
}

// ConfirmedAt returns when the newest renewal that the store accepted was first sent, or the zero time if there is none.
func (e *Elector) ConfirmedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmedAt
}

// Latest returns the newest leader's record that was read.
func (e *Elector) Latest() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// StepDown ends the term that has the fence, after a call was refused because of a higher one.
func (e *Elector) StepDown(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm != nil && e.fence == fence {
		e.notBefore = e.Clock.Now().Add(retakePause)
		e.cancelTerm()
	}
}

// HandOver gives up the term that has the fence. This entry competes for the next one only after handOverPause.
func (e *Elector) HandOver(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm != nil && e.fence == fence {
		e.handingOver = true
		e.notBefore = e.Clock.Now().Add(handOverPause)
		e.cancelTerm()
	}
}

// Resign gives up leadership for good, before a planned stop.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if e.cancelTerm != nil {
		e.cancelTerm()
	}
}

// Run follows the topic and serves every term that this entry wins, until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	e.drawJitter()
	e.mu.Lock()
	e.renewNow, e.readNow = make(chan struct{}, 1), make(chan struct{}, 1)
	e.startedAt = e.Clock.Now()
	e.mu.Unlock()
	known := false
	for ctx.Err() == nil {
		var err error
		asked := e.Clock.ExactNow()
		if !known {
			err = e.readNewest(ctx)
			known = err == nil
		} else {
			err = e.follow(ctx)
		}
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			known = false
		}
		if err != nil {
			e.storeFailed(asked)
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		if known && e.vacant() {
			e.takeTerm(ctx)
		}
	}
	return ctx.Err()
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (e *Elector) drawJitter() { e.jitter = rand.N(maxJitter) }

// deferral returns how long this entry waits for entries with more weight to take leadership first.
func (e *Elector) deferral() time.Duration {
	if e.latest.Term == 0 {
		return time.Duration((1 - min(e.Weight, 1)) * float64(firstTermDelay))
	}
	if e.Weight >= e.latest.Weight {
		return 0
	}
	return time.Duration((1 - e.Weight/e.latest.Weight) * float64(weightDelay))
}

func (e *Elector) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.Topic.Newest(ctx)
	if err != nil {
		return fmt.Errorf("read the leader's record: %w", err)
	}
	e.applyPage(page, e.Clock.Now())
	return nil
}

// pauseBeforeRead pauses before the next read if this entry does not need to see each renewal at once. It returns the time since
// when a renewal may have arrived unread.
func (e *Elector) pauseBeforeRead(ctx context.Context) time.Time {
	since := e.Clock.ExactNow()
	e.mu.Lock()
	pauses := e.cancelTerm == nil && !e.resigned && e.latest.Term > 0 && !e.latest.Released && e.deferral() > 0 && e.failingSince.IsZero() && e.Clock.Since(e.lastHeard) < renewInterval
	e.mu.Unlock()
	if !pauses {
		return since
	}
	t := time.NewTimer(followerReadPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.readNow:
	case <-t.C:
	}
	return since
}

// ReadNow ends the pause before the next read: the known leader does not answer, and the topic may have a newer record.
func (e *Elector) ReadNow() {
	select {
	case e.readNow <- struct{}{}:
	default:
	}
}

func (e *Elector) follow(ctx context.Context) error {
	since := e.pauseBeforeRead(ctx)
	wait := e.readWait()
	asked := e.Clock.ExactNow()
	defer func() {
		if e.Clock.ExactNow().Sub(asked) > wait+outageThreshold { // this process was stalled, or its calls were
			e.mu.Lock()
			e.lastOutage = e.Clock.Now()
			e.mu.Unlock()
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	page, err := e.Topic.Read(ctx, e.end, wait)
	if err != nil {
		return fmt.Errorf("follow the leader's record: %w", err)
	}
	if len(page.Records) == 0 {
		e.recordReadDelay(e.Clock.Since(asked) - wait)
	}
	// The renewal was not there before the pause, and the leader renews every renewInterval. If the answer took longer, it may
	// have waited in this process while it was stalled. Dating the renewal by the time of reading would then hide what the
	// leader may have done since it was sent, so applyPage gets a latest date for it.
	e.applyPage(page, since.Add(renewInterval+renewalTransit))
	return nil
}

// recordReadDelay records by how much an empty read exceeded its wait. The leader's renewals take the same route and may be
// as late.
func (e *Elector) recordReadDelay(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readDelay = min(max(by, 0), maxReadDelay)
}

// applyPage applies the records that were read. No renewal among them is dated later than newest.
func (e *Elector) applyPage(page feed.KeyedPage, newest time.Time) {
	var updated *Record
	e.mu.Lock()
	e.end = max(e.end, page.Next)
	if !e.failingSince.IsZero() && e.Clock.Since(e.failingSince) > outageThreshold {
		e.lastOutage = e.Clock.Now()
	}
	e.failingSince = time.Time{}
	for _, r := range page.Records {
		var rec Record
		if r.Key != key || cbor.Unmarshal(r.Value, &rec) != nil || rec.Fence < e.latest.Fence {
			continue
		}
		e.lastHeard = e.Clock.Now()
		if r.Offset > e.renewalOffset || r.Offset == 0 { // the same record read again does not count as a renewal
			e.renewedAt, e.renewalOffset = e.lastHeard, r.Offset
			if newest.Before(e.renewedAt) {
				e.renewedAt = newest
			}
		}
		if rec != e.latest {
			e.latest = rec
			updated = &rec
		}
	}
	if e.lastHeard.IsZero() {
		e.lastHeard = e.Clock.Now()
	}
	if e.cancelTerm != nil && e.latest.Fence > e.fence {
		e.notBefore = e.Clock.Now().Add(retakePause)
		e.cancelTerm()
	}
	e.mu.Unlock()
	if updated != nil && e.OnRecord != nil {
		e.OnRecord(*updated)
	}
}

// storeFailed restarts the election timeout after a failed call: while the store does not answer, nothing is known about the leader.
func (e *Elector) storeFailed(since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeard = e.Clock.Now()
	if e.failingSince.IsZero() {
		e.failingSince = since
	}
}

// vacant reports whether this entry should try to take the next term.
func (e *Elector) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if e.cancelTerm != nil || e.resigned || now.Before(e.notBefore) || (e.Eligible != nil && !e.Eligible()) {
		return false
	}
	return now.Sub(e.lastHeard) >= e.vacancyTimeout()
}

// vacancyTimeout returns how long after lastHeard the leadership counts as vacant.
func (e *Elector) vacancyTimeout() time.Duration {
	switch {
	case e.latest.Term == 0 || e.latest.Released:
		return e.deferral() + e.jitter
	case e.ledByEarlierBoot() && e.deferral() == 0:
		return 0
	}
	return electionTimeout + 2*e.readDelay + e.deferral() + e.jitter
}

// ledByEarlierBoot reports whether the latest leader was an earlier boot of this entry, which has ended.
func (e *Elector) ledByEarlierBoot() bool {
	return e.latest.Entry == e.Entry && e.latest.Boot != e.Boot
}

// readWait returns how long a read may wait, so that it ends when the leadership becomes vacant.
func (e *Elector) readWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm != nil || e.resigned {
		return maxReadWait
	}
	return min(max(e.vacancyTimeout()-e.Clock.Since(e.lastHeard), minReadWait), maxReadWait)
}

// fenceBits is the number of low bits of a fence that are drawn at random, so that two candidates of one term are unlikely to
// share a fence. Only half of the range is drawn from; the leader raises its tokens within the rest.
const fenceBits = 16

// takeTerm appends the record of the next term, on the condition that no other record was appended meanwhile.
func (e *Elector) takeTerm(ctx context.Context) {
	e.mu.Lock()
	term, weight := e.latest.Term+1, e.latest.Weight
	end := e.end
	e.mu.Unlock()
	// Until the first renewal nothing is known about the earlier leaders, so the record assumes the worst of them.
	rec := Record{Entry: e.Entry, Address: e.Address, Boot: e.Boot, Weight: max(e.Weight, weight), Term: term, Fence: term<<fenceBits | rand.Int64N(1<<(fenceBits-1)), PredecessorsActive: term > 1, PredecessorsUnstored: term > 1}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	sent := e.Clock.ExactNow()
	next, err := e.append(call, rec, end, 0)
	cancel()
	if err == nil {
		err = e.verifyTerm(ctx, rec, end)
	}
	e.drawJitter()
	if err != nil {
		// If only the answer was lost, the record may still appear. Its fence is never used, so it merely delays the next term.
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d err=%q", term, err))
		return
	}
	serveCtx, cancelTerm := context.WithCancel(ctx)
	e.mu.Lock()
	t := Term{Number: term, Fence: rec.Fence, PredecessorRenewed: e.renewedAt, PredecessorsUnstored: e.latest.Unstored || e.latest.PredecessorsUnstored || e.recentOutage()}
	t.OnlyLastUnstored = !e.latest.PredecessorsActive && !e.latest.PredecessorsUnstored
	t.CleanHandover = e.latest.Term == 0 || (e.latest.Released && !e.latest.PredecessorsActive)
	t.Exclusive = t.CleanHandover || (e.ledByEarlierBoot() && !e.latest.PredecessorsActive)
	e.predecessorsActive, e.predecessorsUnstored = !t.Exclusive, t.PredecessorsUnstored && !t.CleanHandover
	e.unstored, e.unstoredPublished = false, false
	e.latest, e.end = rec, next
	e.cancelTerm, e.fence = cancelTerm, rec.Fence
	e.lastHeard, e.confirmedAt = e.Clock.Now(), sent
	e.mu.Unlock()
	if e.OnRecord != nil {
		e.OnRecord(rec)
	}
	e.Events.Emit(event.LeadTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d fence=%d", term, rec.Fence))
	go e.serveTerm(serveCtx, rec, t)
}

// verifyTerm reads the term's record back and fails if it belongs to another entry.
//
// Two candidates may draw the same fence. The store then takes the second record for a repetition of the first, which has the
// same epoch and sequence number, and reports success to both. Without this check both would lead until a later term begins.
func (e *Elector) verifyTerm(ctx context.Context, rec Record, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout) // a separate timeout, because a slow store may use up most of one for the append
	defer cancel()
	page, err := e.Topic.Read(ctx, end, minReadWait)
	var trimmed *feed.TrimmedError
	if errors.As(err, &trimmed) { // the store has trimmed its history meanwhile; the newest record of the key is still there
		page, err = e.Topic.Newest(ctx)
	}
	if err != nil {
		return fmt.Errorf("read back the record of term %d: %w", rec.Term, err)
	}
	for _, r := range page.Records {
		var first Record
		if r.Key != key || cbor.Unmarshal(r.Value, &first) != nil {
			continue
		}
		if first.Entry != rec.Entry || first.Boot != rec.Boot {
			return fmt.Errorf("term %d was won by entry %q with the same fence %d", rec.Term, first.Entry, rec.Fence)
		}
		return nil
	}
	return fmt.Errorf("the record of term %d is missing from the topic", rec.Term)
}

func (e *Elector) append(ctx context.Context, rec Record, at, sequence int64) (int64, error) {
	value, err := cbor.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encode the leader's record: %w", err)
	}
	return e.Topic.Append(ctx, feed.Batch{
		Records: []feed.KeyedRecord{{Key: key, Value: value}}, ExpectedEnd: at,
		Writer: feed.Writer{Name: writer, Epoch: rec.Fence, Sequence: sequence},
	})
}

// serveTerm calls Serve and renews the leader's record until the term ends.
func (e *Elector) serveTerm(ctx context.Context, rec Record, t Term) {
	done := make(chan struct{})
	go func() {
		e.Serve(ctx, t)
		close(done)
	}()
	next := renewal{record: rec, sequence: 1}
	sent := e.Clock.Now()
	for ctx.Err() == nil {
		e.awaitRenewal(ctx, renewInterval-e.Clock.Since(sent))
		if ctx.Err() == nil {
			sent = e.Clock.Now()
			next = e.renew(ctx, next)
		}
	}
	e.mu.Lock()
	released := e.resigned || e.handingOver
	e.handingOver = false
	e.confirmedAt = time.Time{}
	e.mu.Unlock()
	e.Events.Emit(event.LeadLost, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d resigned=%t", rec.Term, released))
	if released {
		e.release(rec, next.sequence) // without waiting for Serve: what it still sends is refused once the next leader has begun
	}
	<-done
	e.mu.Lock()
	e.cancelTerm()
	e.cancelTerm = nil
	e.mu.Unlock()
}

// awaitRenewal waits until the next renewal is due or a change is to be published at once.
func (e *Elector) awaitRenewal(ctx context.Context, due time.Duration) {
	t := time.NewTimer(due)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.renewNow:
	case <-t.C:
	}
}

// renewal is a leader's record that is being written to the store.
type renewal struct {
	record   Record
	sequence int64
}

// renew writes a renewal to the store, retrying until it is accepted or the context ends, and returns the next renewal.
//
// A renewal without an answer is sent again unchanged while earlier attempts are still in flight, since the store may have
// accepted one: it accepts a sequence number once and repeats its answer to duplicates. The answer therefore proves leadership
// only as of the first attempt.
func (e *Elector) renew(ctx context.Context, r renewal) renewal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	r.record.Unstored, r.record.PredecessorsActive, r.record.PredecessorsUnstored = e.unstored, e.predecessorsActive, e.predecessorsUnstored
	e.mu.Unlock()
	first := e.Clock.ExactNow()
	answers := make(chan error, maxRenewalsInFlight)
	inFlight, timeout := 0, RenewTimeout
	for ctx.Err() == nil {
		if inFlight < maxRenewalsInFlight {
			inFlight++
			go func(timeout time.Duration) { answers <- e.sendRenewal(ctx, r, timeout) }(timeout)
			timeout = renewCallTimeout
		}
		retry := time.NewTimer(RenewTimeout)
		select {
		case <-ctx.Done():
		case <-retry.C:
		case err := <-answers:
			inFlight--
			var fenced *feed.FencedError
			switch {
			case err == nil:
				e.renewalConfirmed(r, first)
				retry.Stop()
				return renewal{record: r.record, sequence: r.sequence + 1}
			case errors.As(err, &fenced):
				e.StepDown(r.record.Fence)
			default:
				sleep(ctx, renewRetryPause)
			}
		}
		retry.Stop()
	}
	return r
}

func (e *Elector) sendRenewal(ctx context.Context, r renewal, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := e.append(call, r.record, -1, r.sequence)
	return err
}

// renewalConfirmed records that the store accepted a renewal that was first sent at first.
func (e *Elector) renewalConfirmed(r renewal, first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = first
	e.unstoredPublished = r.record.Unstored && e.unstored
}

func (e *Elector) release(rec Record, sequence int64) {
	rec.Released = true
	e.mu.Lock()
	rec.Unstored, rec.PredecessorsActive, rec.PredecessorsUnstored = e.unstored, e.predecessorsActive, e.predecessorsUnstored
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.append(ctx, rec, -1, sequence); err != nil {
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("release term=%d err=%q", rec.Term, err))
	}
}
