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

// Times of the election.
const (
	// renewEvery is the time from one renewal's sending to the next's; each costs a write and wakes every entry once.
	renewEvery = 350 * time.Millisecond
	// missedAfter is how long candidates wait for a renewal: three of them.
	missedAfter = 1100 * time.Millisecond
	// readWait is how long a read waits for a renewal.
	readWait = time.Second
	// readLeast is the shortest such wait.
	readLeast = 30 * time.Millisecond
	// restFor is how long an entry that leaves the lead to larger ones rests after each renewal that it has read: two renewals then take it one
	// read. It stays under missedAfter, so that a renewal which does not come is still waited for with a read that is open.
	restFor = 700 * time.Millisecond
	// callTimeout bounds a call beyond its wait.
	callTimeout = 700 * time.Millisecond
	// RenewTimeout is how long a renewal waits for its answer before the same is sent once more: with renewEvery it stays under
	// missedAfter, so that one lost answer ends no lead. The first sending ends then, so that its way to the store is known to
	// fail and the next takes another.
	RenewTimeout = 450 * time.Millisecond
	// renewCall bounds the later ones, which go on beside each other: a store that takes a second to answer must still get its
	// word through. When all were given up after 0.45 s a leader lost its lead in every slow time of the store.
	renewCall = 2500 * time.Millisecond
	// answerWay is what passes between the store's taking a renewal and its reader, on a sound machine.
	answerWay = 100 * time.Millisecond
	// renewAgain is the pause after a renewal that was refused at once.
	renewAgain = 50 * time.Millisecond
	// renewMost bounds the sendings of one renewal that are on their way at once.
	renewMost = 4
	// lateMost bounds by how much longer candidates wait for a renewal because their own calls are late.
	lateMost = time.Second
	// retakePause keeps an entry that lost the lead from taking it back while workers may still hear both.
	retakePause = 4 * time.Second
	// handOverPause is how long an entry that has handed over leaves the lead to others, which take it at once.
	handOverPause = time.Second
	// spread keeps candidates from asking all at once. Entries smaller than the largest that ever led leave those like it
	// sizeDelay, in proportion; before the first term, when there is time, the largest of all get firstDelay.
	spread     = 80 * time.Millisecond
	sizeDelay  = 300 * time.Millisecond
	firstDelay = time.Second
	// ConfirmedFor is how long a renewal proves that nobody else has the lead, counted from when it was sent; it is under
	// missedAfter.
	ConfirmedFor = time.Second
)

// key is the one key of the topic.
const key = "leader"

// writer names the leader to the store.
const writer = "leader"

// Elector takes part in the election.
type Elector struct {
	// Entry, Address and Boot are published when this entry leads.
	Entry, Address, Boot string
	Topic                feed.Topic
	// Weight is the entry's processor share in cores: the larger ones lead.
	Weight float64
	Events *event.Ring
	// Clock is what proofs and patience go by; the steady clock when nil.
	Clock *clock.Clock
	// Serve leads until its context ends; it is called for each term that was taken.
	Serve func(ctx context.Context, t Term)
	// OnRecord is called with every new record of a leader, from one goroutine.
	OnRecord func(r Record)
	// Eligible says whether this entry may lead now; always when nil.
	Eligible func() bool

	mu        sync.Mutex
	latest    Record
	end       int64
	changed   time.Time     // when latest changed, or the store began to answer
	renewed   time.Time     // when the newest renewal was read
	offset    int64         // of the newest renewal
	began     time.Time     // when Run was called
	late      time.Duration // how much later than it should the newest read came back that brought nothing
	failing   time.Time     // when the first call of those that have failed since was made; zero while they succeed
	outage    time.Time     // when the store last answered after a long silence
	wait      time.Duration
	notBefore time.Time
	lost      context.CancelFunc
	fence     int64
	confirmed time.Time
	resigned  bool
	// handsOver says that this term is given up, and that others may have the next.
	handsOver bool
	// loose is what is to be published, looseKept says that it was; hurry ends the pause before the next renewal.
	loose, looseKept bool
	hurry            chan struct{}
	look             chan struct{} // ends a rest
	// open and coarse are what is to be published of the leaders before.
	open, coarse bool
}

// Confirmed says whether a renewal has lately proved that this entry leads.
func (e *Elector) Confirmed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Sure().Sub(e.confirmed) < ConfirmedFor
}

// ConfirmedAt returns when the newest renewal that the store took was first sent; the zero time before any.
func (e *Elector) ConfirmedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmed
}

// Latest returns the newest record that was read.
func (e *Elector) Latest() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest
}

// StepDown ends the term with the fence, after a refusal for a higher one.
func (e *Elector) StepDown(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lost != nil && e.fence == fence {
		e.notBefore = e.Clock.Now().Add(retakePause)
		e.lost()
	}
}

// HandOver gives up the term with the fence; this entry takes the lead again only if no other has after handOverPause.
func (e *Elector) HandOver(fence int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lost != nil && e.fence == fence {
		e.handsOver = true
		e.notBefore = e.Clock.Now().Add(handOverPause)
		e.lost()
	}
}

// Resign gives up the lead for good, before a planned stop.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if e.lost != nil {
		e.lost()
	}
}

// Run follows the topic and leads whenever the lead is taken, until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	e.drawWait()
	e.mu.Lock()
	e.hurry, e.look = make(chan struct{}, 1), make(chan struct{}, 1)
	e.began = e.Clock.Now()
	e.mu.Unlock()
	known := false
	for ctx.Err() == nil {
		var err error
		asked := e.Clock.Sure()
		if !known {
			err = e.begin(ctx)
			known = err == nil
		} else {
			err = e.follow(ctx)
		}
		var trimmed *feed.TrimmedError
		if errors.As(err, &trimmed) {
			known = false
		}
		if err != nil {
			e.silent(asked)
			pause(ctx, 100*time.Millisecond)
			continue
		}
		if known && e.vacant() {
			e.take(ctx)
		}
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (e *Elector) drawWait() { e.wait = rand.N(spread) }

// leave is how long this entry leaves the lead to larger ones.
func (e *Elector) leave() time.Duration {
	if e.latest.Term == 0 {
		return time.Duration((1 - min(e.Weight, 1)) * float64(firstDelay))
	}
	if e.Weight >= e.latest.Weight {
		return 0
	}
	return time.Duration((1 - e.Weight/e.latest.Weight) * float64(sizeDelay))
}

func (e *Elector) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.Topic.Newest(ctx)
	if err != nil {
		return fmt.Errorf("read the leader's record: %w", err)
	}
	e.took(page, e.Clock.Now())
	return nil
}

// rest waits before the next read, if this entry need not know of each renewal at once; it returns since when one may have come unread.
func (e *Elector) rest(ctx context.Context) time.Time {
	since := e.Clock.Sure()
	e.mu.Lock()
	rests := e.lost == nil && !e.resigned && e.latest.Term > 0 && !e.latest.Released && e.leave() > 0 && e.failing.IsZero() && e.Clock.Since(e.changed) < renewEvery
	e.mu.Unlock()
	if !rests {
		return since
	}
	t := time.NewTimer(restFor)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.look:
	case <-t.C:
	}
	return since
}

// ReadNow ends a rest: the leader that is known does not answer, and another one may have been published.
func (e *Elector) ReadNow() {
	select {
	case e.look <- struct{}{}:
	default:
	}
}

func (e *Elector) follow(ctx context.Context) error {
	since := e.rest(ctx)
	wait := e.untilVacant()
	asked := e.Clock.Sure()
	defer func() {
		if e.Clock.Sure().Sub(asked) > wait+longSilence { // this process stood still, or its calls did
			e.mu.Lock()
			e.outage = e.Clock.Now()
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
		e.cameLate(e.Clock.Since(asked) - wait)
	}
	// What comes was not there before the rest, and the leader renews each renewEvery. An answer that took longer may have waited here,
	// for a process that stood still: counted from when it is read, it would hide what the leader may have done since.
	e.took(page, since.Add(renewEvery+answerWay))
	return nil
}

// cameLate notes how late a read came back that brought nothing: the leader's renewals have the same way to go.
func (e *Elector) cameLate(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = min(max(by, 0), lateMost)
}

// took applies what was read; no renewal in it counts as newer than the time.
func (e *Elector) took(page feed.KeyedPage, newest time.Time) {
	var news *Record
	e.mu.Lock()
	e.end = max(e.end, page.Next)
	if !e.failing.IsZero() && e.Clock.Since(e.failing) > longSilence {
		e.outage = e.Clock.Now()
	}
	e.failing = time.Time{}
	for _, r := range page.Records {
		var rec Record
		if r.Key != key || cbor.Unmarshal(r.Value, &rec) != nil || rec.Fence < e.latest.Fence {
			continue
		}
		e.changed = e.Clock.Now()
		if r.Offset > e.offset || r.Offset == 0 { // the same record read again is no renewal
			e.renewed, e.offset = e.changed, r.Offset
			if newest.Before(e.renewed) {
				e.renewed = newest
			}
		}
		if rec != e.latest {
			e.latest = rec
			news = &rec
		}
	}
	if e.changed.IsZero() {
		e.changed = e.Clock.Now()
	}
	if e.lost != nil && e.latest.Fence > e.fence {
		e.notBefore = e.Clock.Now().Add(retakePause)
		e.lost()
	}
	e.mu.Unlock()
	if news != nil && e.OnRecord != nil {
		e.OnRecord(*news)
	}
}

// silent restarts the wait for a renewal: while the store does not answer, nothing is known of the leader.
func (e *Elector) silent(since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = e.Clock.Now()
	if e.failing.IsZero() {
		e.failing = since
	}
}

// vacant says whether this entry should try to take the lead.
func (e *Elector) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	if e.lost != nil || e.resigned || now.Before(e.notBefore) || (e.Eligible != nil && !e.Eligible()) {
		return false
	}
	return now.Sub(e.changed) >= e.patience()
}

// patience is how long after the latest news the lead counts as vacant.
func (e *Elector) patience() time.Duration {
	switch {
	case e.latest.Term == 0 || e.latest.Released:
		return e.leave() + e.wait
	case e.earlierLife() && e.leave() == 0:
		return 0
	}
	return missedAfter + 2*e.late + e.leave() + e.wait
}

// earlierLife says whether the latest leader was an earlier life of this very process, which has ended.
func (e *Elector) earlierLife() bool { return e.latest.Entry == e.Entry && e.latest.Boot != e.Boot }

// untilVacant returns how long a read may wait, so that it ends when the lead becomes vacant.
func (e *Elector) untilVacant() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lost != nil || e.resigned {
		return readWait
	}
	return min(max(e.patience()-e.Clock.Since(e.changed), readLeast), readWait)
}

// fenceBits are the low bits of a fence, drawn at random so that two candidates of one term never share it. Half of their range is drawn from: the
// leader raises its tokens within the rest.
const fenceBits = 16

// take appends the next term under the condition that nobody else has.
func (e *Elector) take(ctx context.Context) {
	e.mu.Lock()
	term, weight := e.latest.Term+1, e.latest.Weight
	end := e.end
	e.mu.Unlock()
	// Until the first renewal nothing is known of the leaders before.
	rec := Record{Entry: e.Entry, Address: e.Address, Boot: e.Boot, Weight: max(e.Weight, weight), Term: term, Fence: term<<fenceBits | rand.Int64N(1<<(fenceBits-1)), PredecessorsActive: term > 1, PredecessorsUnstored: term > 1}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	sent := e.Clock.Sure()
	next, err := e.append(call, rec, end, 0)
	cancel()
	if err == nil {
		err = e.own(ctx, rec, end)
	}
	e.drawWait()
	if err != nil {
		// After a lost answer the record may still appear; its fence is never used, so it only delays the next term.
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d err=%q", term, err))
		return
	}
	serve, lost := context.WithCancel(ctx)
	e.mu.Lock()
	t := Term{Number: term, Fence: rec.Fence, PredecessorRenewed: e.renewed, PredecessorsUnstored: e.latest.Unstored || e.latest.PredecessorsUnstored || e.sawOutage()}
	t.CleanHandover = e.latest.Term == 0 || (e.latest.Released && !e.latest.PredecessorsActive)
	t.Exclusive = t.CleanHandover || (e.earlierLife() && !e.latest.PredecessorsActive)
	e.open, e.coarse = !t.Exclusive, t.PredecessorsUnstored && !t.CleanHandover
	e.loose, e.looseKept = false, false
	e.latest, e.end = rec, next
	e.lost, e.fence = lost, rec.Fence
	e.changed, e.confirmed = e.Clock.Now(), sent
	e.mu.Unlock()
	if e.OnRecord != nil {
		e.OnRecord(rec)
	}
	e.Events.Emit(event.LeadTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d fence=%d", term, rec.Fence))
	go e.lead(serve, rec, t)
}

// own reads back whether the term is this entry's. Two candidates may draw the same token; the store takes the second one's record for the first
// one's, sent again, and tells both that it was taken. Both led then, for as long as neither was followed.
func (e *Elector) own(ctx context.Context, rec Record, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout) // of its own: a slow store takes most of one for the append
	defer cancel()
	page, err := e.Topic.Read(ctx, end, readLeast)
	var trimmed *feed.TrimmedError
	if errors.As(err, &trimmed) { // the store has dropped its history meanwhile, and keeps the newest record
		page, err = e.Topic.Newest(ctx)
	}
	if err != nil {
		return fmt.Errorf("read the term back: %w", err)
	}
	for _, r := range page.Records {
		var first Record
		if r.Key != key || cbor.Unmarshal(r.Value, &first) != nil {
			continue
		}
		if first.Entry != rec.Entry || first.Boot != rec.Boot {
			return fmt.Errorf("term %d is %s's, under the same token; it is left to that entry", rec.Term, first.Entry)
		}
		return nil
	}
	return errors.New("the term's record is not there; the lead is left to another")
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

// lead serves and renews until the term ends.
func (e *Elector) lead(ctx context.Context, rec Record, t Term) {
	done := make(chan struct{})
	go func() {
		e.Serve(ctx, t)
		close(done)
	}()
	next := renewal{record: rec, sequence: 1}
	sent := e.Clock.Now()
	for ctx.Err() == nil {
		e.awaitRenewal(ctx, renewEvery-e.Clock.Since(sent))
		if ctx.Err() == nil {
			sent = e.Clock.Now()
			next = e.renew(ctx, next)
		}
	}
	e.mu.Lock()
	released := e.resigned || e.handsOver
	e.handsOver = false
	e.confirmed = time.Time{}
	e.mu.Unlock()
	e.Events.Emit(event.LeadLost, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d resigned=%t", rec.Term, released))
	if released {
		e.release(rec, next.sequence) // at once: what still leaves here is refused once the next leader has begun
	}
	<-done
	e.mu.Lock()
	e.lost()
	e.lost = nil
	e.mu.Unlock()
}

// awaitRenewal waits until the next renewal is due, or something is to be published at once.
func (e *Elector) awaitRenewal(ctx context.Context, due time.Duration) {
	t := time.NewTimer(due)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.hurry:
	case <-t.C:
	}
}

// renewal is the leader's record on its way to the store.
type renewal struct {
	record   Record
	sequence int64
}

// renew has the store take a renewal, and returns the next one.
//
// One without an answer is sent again as it was, beside what is on its way, since the store may have taken it: it takes the same
// sequence number once and repeats its answer. That answer proves nothing later than the first sending.
func (e *Elector) renew(ctx context.Context, r renewal) renewal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	r.record.Unstored, r.record.PredecessorsActive, r.record.PredecessorsUnstored = e.loose, e.open, e.coarse
	e.mu.Unlock()
	first := e.Clock.Sure()
	answers := make(chan error, renewMost)
	underWay, timeout := 0, RenewTimeout
	for ctx.Err() == nil {
		if underWay < renewMost {
			underWay++
			go func(timeout time.Duration) { answers <- e.sendRenewal(ctx, r, timeout) }(timeout)
			timeout = renewCall
		}
		again := time.NewTimer(RenewTimeout)
		select {
		case <-ctx.Done():
		case <-again.C:
		case err := <-answers:
			underWay--
			var fenced *feed.FencedError
			switch {
			case err == nil:
				e.renewalTaken(r, first)
				again.Stop()
				return renewal{record: r.record, sequence: r.sequence + 1}
			case errors.As(err, &fenced):
				e.StepDown(r.record.Fence)
			default:
				pause(ctx, renewAgain)
			}
		}
		again.Stop()
	}
	return r
}

func (e *Elector) sendRenewal(ctx context.Context, r renewal, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := e.append(call, r.record, -1, r.sequence)
	return err
}

// renewalTaken notes that the store took a renewal that was first sent at the time.
func (e *Elector) renewalTaken(r renewal, first time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed = first
	e.looseKept = r.record.Unstored && e.loose
}

func (e *Elector) release(rec Record, sequence int64) {
	rec.Released = true
	e.mu.Lock()
	rec.Unstored, rec.PredecessorsActive, rec.PredecessorsUnstored = e.loose, e.open, e.coarse
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.append(ctx, rec, -1, sequence); err != nil {
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("release term=%d err=%q", rec.Term, err))
	}
}
