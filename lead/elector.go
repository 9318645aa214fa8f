// SPDX-License-Identifier: MIT

package lead

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// overdueMargin is how long after a renewal was due a second read is sent. pollMargin is how long a long poll may stay
	// unanswered after the end of its wait before a second read is sent.
	overdueMargin = 100 * time.Millisecond
	pollMargin    = 100 * time.Millisecond
	// probeInterval is the time between second reads. From the third on it doubles up to maxProbeInterval, so that entries
	// do not load a store that is failing. maxProbeInterval is below the deferral of small entries: if the larger ones noticed
	// the store's return later than that, a small one would take over first.
	probeInterval    = 150 * time.Millisecond
	maxProbeInterval = 300 * time.Millisecond
	// probeGrace is how long an open long poll may still deliver the records that a second read has brought. After that it is
	// cancelled, which marks its route as failing.
	probeGrace = 50 * time.Millisecond
	// maxAnswerGap is the longest time between two answered reads during which the store still counts as available. It is not
	// above RenewTimeout, so that a store that answers nobody for that long delays a renewal by no more than one attempt, which
	// electionTimeout allows for.
	maxAnswerGap = RenewTimeout
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
	// renewRetryPause is the pause after a renewal that failed at once, and readRetryPause the one after a failed read.
	renewRetryPause = 50 * time.Millisecond
	readRetryPause  = 100 * time.Millisecond
	// maxRenewalsInFlight bounds the concurrent attempts of one renewal. It lets one be sent every RenewTimeout even if none of
	// the earlier ones is ever answered: with 4, a leader could not renew for 1.5 s after an outage in which its calls were lost.
	maxRenewalsInFlight = int(renewCallTimeout/RenewTimeout) + 2
	// maxReadDelay bounds the measured delay of reads by which candidates extend electionTimeout.
	maxReadDelay = time.Second
	// retakePause keeps an entry that lost leadership from taking it back while workers may still receive messages of both leaders.
	retakePause = 4 * time.Second
	// handOverPause is how long an entry that has handed over leaves the next term to others, which normally take it at once.
	handOverPause = time.Second
	// maxJitter spreads the attempts of candidates over time.
	maxJitter = 80 * time.Millisecond
	// maxDeferral is how much longer an entry of fitness 0 waits if the fittest one has fitness 1. Others wait in proportion to
	// the difference. While the requirement is unknown, weights are compared instead, with the largest weight of a leader so far.
	maxDeferral = 500 * time.Millisecond
	// firstTermDelay replaces maxDeferral before the first term, when there is more time. Entries wait in proportion to what
	// their weight lacks of 1.
	firstTermDelay = time.Second
	// ConfirmedFor is how long a renewal proves that no other entry leads, counted from when it was sent. It is below
	// electionTimeout.
	ConfirmedFor = time.Second
)

// key is the key of the leader's record. The topic's other keys hold records that accompany renewals.
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
	// Capacity is what this entry has for leading. Without it, only Weight counts.
	Capacity Capacity
	Events   *event.Ring
	// Clock measures confirmations and timeouts; the steady clock when nil.
	Clock *clock.Clock
	// Serve does the leader's work until its context ends. It is called once for each term that this entry wins.
	Serve func(ctx context.Context, t Term)
	// OnRecord is called with every new leader's record that differs from the one before, from one goroutine.
	OnRecord func(r Record)
	// Extra returns records under other keys that are appended in one batch with a renewal. It is called once for each renewal;
	// nil means none.
	Extra func() []feed.KeyedRecord
	// OnExtra is called in order with each record under a key that is not the elector's own, from the goroutine of OnRecord. r is
	// the leader's record of the same batch, or the zero Record when that one is not known because the topic has newer ones.
	OnExtra func(key string, value []byte, r Record)
	// Eligible reports whether this entry may become leader now; always true when nil.
	Eligible func() bool

	mu            sync.Mutex
	latest        Record
	end           int64
	lastHeard     time.Time     // start of the election timeout: when a leader's record was last read, or the store was back
	answeredAt    time.Time     // when the store last answered a read
	pausedUntil   time.Time     // when the latest pause before a read ended
	renewedAt     time.Time     // when the newest renewal was read, or the latest time at which it can have arrived
	renewalOffset int64         // offset of the newest renewal
	batch         Record        // leader's record of the newest batch that was read; zero when it was not read
	extraOffset   int64         // offset of the newest record under another key
	startedAt     time.Time     // when Run was called
	readDelay     time.Duration // by how much the latest empty read exceeded its wait
	failingSince  time.Time     // when the first call of the current run of failed calls was made; zero while calls succeed
	lastOutage    time.Time     // when the latest outage of the store ended, see outageThreshold
	jitter        time.Duration
	deferredTerm  int64 // term after which this entry last reported that it waits for fitter ones
	notBefore     time.Time
	cancelTerm    context.CancelFunc
	fence         int64
	confirmedAt   time.Time
	resigned      bool
	// handoverDue is set when this term is to be given up after the renewal in progress, and handingOver once it is being given
	// up and the next is left to other entries.
	handoverDue, handingOver bool
	// successor is the entry to which this term is handed over; nil for none. namedSuccessor is the newest successor record that
	// was read, and handedOverAt when it was read.
	successor      *successorRecord
	namedSuccessor successorRecord
	handedOverAt   time.Time
	// requirement is what leading requires. reports holds the newest reports of other entries in this term, and tookAt is when
	// the term began.
	requirement requirement
	reports     map[string]report
	tookAt      time.Time
	// unstored is published with the next renewal; unstoredPublished is set once the store has accepted it.
	unstored, unstoredPublished bool
	renewNow                    chan struct{} // ends awaitRenewal
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
//
// The term ends between two renewals. If it ended during one that the store accepts without this entry reading the answer, the
// store would take the record that releases the term for a repetition, and the other entries would wait for the election timeout.
func (e *Elector) HandOver(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelTerm == nil || e.fence != fence {
		return
	}
	e.handoverDue = true
	e.startRenewal()
}

// startRenewal starts the next renewal without waiting until it is due.
func (e *Elector) startRenewal() {
	select {
	case e.renewNow <- struct{}{}:
	default:
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
			e.readFailed(asked)
			sleep(ctx, readRetryPause)
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

// deferral returns how long this entry waits for fitter ones to take leadership first. The caller holds mu.
func (e *Elector) deferral() time.Duration {
	switch p := e.requirement.published; {
	case e.latest.Term == 0:
		return time.Duration((1 - min(e.Weight, 1)) * float64(firstTermDelay))
	case e.requirement.known && e.Capacity != Capacity{}:
		return time.Duration(max(p.Fittest.Fitness(p.Required)-e.fitness(), 0) * float64(maxDeferral))
	case e.Weight < e.latest.Weight:
		return time.Duration((1 - e.Weight/e.latest.Weight) * float64(maxDeferral))
	}
	return 0
}

// readsLess reports whether this entry need not see each renewal at once, because fitter ones do. An entry to which the leader
// may hand over reads each. The caller holds mu.
func (e *Elector) readsLess() bool {
	return (e.Weight < e.latest.Weight || e.deferral() > 0) && !e.canRelieveLeader()
}

func (e *Elector) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.Topic.Newest(ctx)
	if err != nil {
		return fmt.Errorf("read the leader's record: %w", err)
	}
	e.mu.Lock()
	e.batch = Record{} // the page omits the leader's records of earlier batches
	e.mu.Unlock()
	e.applyPage(page, e.Clock.Now())
	return nil
}

// pauseBeforeRead pauses before the next read if this entry does not need to see each renewal at once. It returns the time since
// when a renewal may have arrived unread.
func (e *Elector) pauseBeforeRead(ctx context.Context) time.Time {
	since := e.Clock.ExactNow()
	e.mu.Lock()
	pauses := e.cancelTerm == nil && !e.resigned && e.latest.Term > 0 && !e.latest.Released && e.readsLess() && e.failingSince.IsZero() && e.Clock.Since(e.lastHeard) < renewInterval
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
	e.mu.Lock()
	if e.pausedUntil = e.Clock.Now(); e.pausedUntil.After(since.Add(followerReadPause)) { // the machine was suspended or stalled
		e.pausedUntil = since.Add(followerReadPause)
	}
	e.mu.Unlock()
	return since
}

// ReadNow ends the pause before the next read: the known leader does not answer, and the topic may have a newer record.
func (e *Elector) ReadNow() {
	select {
	case e.readNow <- struct{}{}:
	default:
	}
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
	records := slices.Clone(page.Records)
	slices.SortStableFunc(records, func(a, b feed.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) }) // Newest sorts by key
	updated := false
	var extras []extraRecord
	e.mu.Lock()
	e.end = max(e.end, page.Next)
	e.storeAnswered()
	if !e.failingSince.IsZero() && e.Clock.Since(e.failingSince) > outageThreshold {
		e.lastOutage = e.Clock.Now()
	}
	e.failingSince = time.Time{}
	for _, r := range records {
		if r.Key != key {
			if e.newExtra(r) && !e.applyOwn(r) {
				extras = append(extras, extraRecord{KeyedRecord: r, leader: e.batch})
			}
			continue
		}
		if e.applyRenewal(r, newest) {
			updated = true
		}
	}
	if e.lastHeard.IsZero() {
		e.lastHeard = e.Clock.Now()
	}
	if e.cancelTerm != nil && e.latest.Fence > e.fence {
		e.notBefore = e.Clock.Now().Add(retakePause)
		e.cancelTerm()
	}
	latest := e.latest
	e.mu.Unlock()
	if updated && e.OnRecord != nil {
		e.OnRecord(latest)
	}
	for _, x := range extras {
		if e.OnExtra != nil {
			e.OnExtra(x.Key, x.Value, x.leader)
		}
	}
}

// applyRenewal applies a leader's record and reports whether it differs from the one before.
func (e *Elector) applyRenewal(r feed.KeyedRecord, newest time.Time) bool {
	var rec Record
	if cbor.Unmarshal(r.Value, &rec) != nil {
		return false
	}
	if r.Offset <= e.renewalOffset && r.Offset != 0 { // two reads may bring the same record
		return false
	}
	e.batch = rec
	if rec.Fence < e.latest.Fence {
		return false
	}
	e.lastHeard = e.Clock.Now()
	e.renewedAt, e.renewalOffset = e.lastHeard, r.Offset
	if newest.Before(e.renewedAt) {
		e.renewedAt = newest
	}
	changed := rec != e.latest
	e.latest = rec
	return changed
}

// vacant reports whether this entry should try to take the next term. It logs once a term that this entry waits for fitter ones.
func (e *Elector) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if e.cancelTerm != nil || e.resigned || now.Before(e.notBefore) || (e.Eligible != nil && !e.Eligible()) {
		return false
	}
	silent, timeout := now.Sub(e.lastHeard), e.vacancyTimeout()
	if silent < timeout && silent >= timeout-e.deferral() && e.deferredTerm < e.latest.Term {
		e.deferredTerm = e.latest.Term
		e.Events.Emit(event.LeadDeferred, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d %s", e.latest.Term+1, e.candidacy()))
	}
	return silent >= timeout
}

// candidacy returns for the log why this entry stands for election or waits for fitter ones. The caller holds mu.
func (e *Elector) candidacy() string {
	why := "no renewal"
	switch {
	case e.latest.Term == 0:
		why = "no leader yet"
	case e.latest.Released && e.namedSuccessor.Fence == e.latest.Fence && e.namedSuccessor.Entry == e.Entry:
		why = "named by the leader"
	case e.latest.Released:
		why = "given up"
	case e.ledByEarlierBoot():
		why = "led by an earlier boot"
	}
	return fmt.Sprintf("why=%q silent=%v fitness=%.2f waits=%v", why, e.Clock.Since(e.lastHeard).Round(time.Millisecond), e.fitness(), e.deferral().Round(time.Millisecond))
}

// vacancyTimeout returns how long after lastHeard the leadership counts as vacant. The caller holds mu.
func (e *Elector) vacancyTimeout() time.Duration {
	switch {
	case e.latest.Term == 0:
		return e.deferral() + e.jitter
	case e.latest.Released:
		wait, receiver := e.successorDelay()
		if receiver {
			return 0
		}
		return wait + e.deferral() + e.jitter
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
