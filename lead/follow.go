// SPDX-License-Identifier: MIT

package lead

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rackstep.dev/feed"
)

// readAnswer is the outcome of one of the reads that are open at the same time.
type readAnswer struct {
	page  feed.KeyedPage
	err   error
	asked time.Time
	probe bool
}

// maxProbeDoublings bounds the doublings of probeInterval, so that it can't overflow before maxProbeInterval bounds it.
const maxProbeDoublings = 8

// followRead is a long poll and the short second reads beside it.
type followRead struct {
	e       *Elector
	ctx     context.Context
	answers chan readAnswer
	// since is the time since when a renewal may have arrived unread.
	since time.Time
	// asked is when the long poll was sent, and wait how long it asks the store to wait.
	asked time.Time
	wait  time.Duration
	// probes counts the second reads that were sent, openProbes those without an outcome, and unanswered those that were sent
	// since the last answer.
	probes, openProbes, unanswered int
	// pollErr is why the long poll has failed.
	pollErr error
}

// follow reads on until there are records, the long poll has ended or the leadership is vacant.
//
// Once a renewal or the end of the long poll is overdue, short reads are sent by other routes, so that a long poll that is
// never answered does not hide the leader's renewals or their absence.
func (e *Elector) follow(ctx context.Context) error {
	since := e.pauseBeforeRead(ctx)
	wait := e.readWait()
	asked := e.Clock.ExactNow()
	defer e.noteStall(asked, wait)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	from := e.end
	e.mu.Unlock()
	f := &followRead{e: e, ctx: ctx, answers: make(chan readAnswer, 1), since: since, asked: asked, wait: wait}
	f.send(false, wait+callTimeout, func(ctx context.Context) (feed.KeyedPage, error) {
		return e.Topic.Read(ctx, from, wait)
	})
	return f.await()
}

// noteStall counts a long poll that has taken far longer than its wait as an outage: this process or its calls were stalled.
func (e *Elector) noteStall(asked time.Time, wait time.Duration) {
	if e.Clock.ExactNow().Sub(asked) <= wait+outageThreshold {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastOutage = e.Clock.Now()
}

// send starts a read whose outcome goes to answers.
func (f *followRead) send(probe bool, timeout time.Duration, read func(ctx context.Context) (feed.KeyedPage, error)) {
	a := readAnswer{asked: f.e.Clock.ExactNow(), probe: probe}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		a.page, a.err = read(ctx)
		select {
		case f.answers <- a:
		case <-f.ctx.Done():
		}
	}()
}

// probe sends a second read.
func (f *followRead) probe() {
	f.e.mu.Lock()
	from := f.e.end
	f.e.mu.Unlock()
	f.probeFrom(from)
}

// probeFrom sends a second read that starts at an offset.
func (f *followRead) probeFrom(from int64) {
	attempt := f.probes
	f.probes++
	f.openProbes++
	f.unanswered++
	f.send(true, callTimeout, func(ctx context.Context) (feed.KeyedPage, error) {
		if f.e.Topic.Probe == nil {
			return f.e.Topic.Read(ctx, from, 0)
		}
		return f.e.Topic.Probe(ctx, from, attempt)
	})
}

// await handles the outcomes of the reads until follow is done.
func (f *followRead) await() error {
	next := time.NewTimer(f.firstProbe())
	defer next.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return f.ctx.Err()
		case <-next.C:
			if f.e.competes() {
				f.probe()
				next.Reset(f.probePause())
			}
		case a := <-f.answers:
			if done, err := f.handle(a); done {
				return err
			}
		}
	}
}

// handle handles the outcome of a read and reports whether follow is done.
func (f *followRead) handle(a readAnswer) (bool, error) {
	if a.probe {
		f.openProbes--
	}
	var trimmed *feed.TrimmedError
	switch {
	case errors.As(a.err, &trimmed):
		return true, fmt.Errorf("follow the leader's record: %w", a.err)
	case a.err != nil:
		return f.failed(a)
	}
	f.unanswered = 0
	f.e.applyAnswer(f, a)
	switch {
	case !a.probe || f.pollErr != nil:
		return true, nil
	case len(a.page.Records) > 0:
		f.awaitPoll()
		return true, nil
	}
	return f.e.vacant(), nil
}

// failed handles a read that failed. After the long poll has failed, the outcome of a second read is awaited.
func (f *followRead) failed(a readAnswer) (bool, error) {
	if !a.probe {
		f.pollErr = fmt.Errorf("follow the leader's record: %w", a.err)
		if f.e.competes() {
			f.e.readFailed(f.asked)
			f.probe()
		}
	}
	return f.pollErr != nil && f.openProbes == 0, f.pollErr
}

// awaitPoll gives the long poll a moment to deliver the records that a second read has brought.
func (f *followRead) awaitPoll() {
	t := time.NewTimer(probeGrace)
	defer t.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-t.C:
			return
		case a := <-f.answers:
			if a.err == nil {
				f.e.applyAnswer(f, a)
			}
			if !a.probe {
				return
			}
		}
	}
}

// applyAnswer applies the page of an answered read.
func (e *Elector) applyAnswer(f *followRead, a readAnswer) {
	wait := f.wait
	if a.probe {
		wait = 0
	}
	if len(a.page.Records) == 0 {
		e.recordReadDelay(e.Clock.Since(a.asked) - wait)
	}
	// The renewal was not there before the pause, and the leader renews every renewInterval. If the answer took longer, it may
	// have waited in this process while it was stalled. Dating the renewal by the time of reading would then hide what the
	// leader may have done since it was sent, so applyPage gets a latest date for it.
	e.applyPage(a.page, f.since.Add(renewInterval+renewalTransit))
}

// firstProbe returns the time until the first second read.
func (f *followRead) firstProbe() time.Duration {
	e := f.e
	e.mu.Lock()
	defer e.mu.Unlock()
	due := f.asked.Add(f.wait + pollMargin)
	if e.latest.Term > 0 && !e.latest.Released {
		overdue := latestOf(e.lastHeard.Add(renewInterval+overdueMargin), f.asked.Add(pollMargin))
		if overdue.Before(due) {
			due = overdue
		}
	}
	return due.Sub(e.Clock.Now())
}

// probePause returns the time until the next second read: an interval, or less so that one is sent soon after the long poll
// should have shown that the leadership is vacant.
func (f *followRead) probePause() time.Duration {
	e := f.e
	pause := min(probeInterval<<min(max(f.unanswered-2, 0), maxProbeDoublings), maxProbeInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := e.vacancyTimeout() - e.Clock.Since(e.lastHeard) + minReadWait; left > minReadWait && left < pause {
		return left
	}
	return pause
}

// competes reports whether this entry may take the next term.
func (e *Elector) competes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelTerm == nil && !e.resigned
}

// readBack reads what was appended at an offset. If no answer arrives, second reads are sent by other routes.
func (e *Elector) readBack(ctx context.Context, from int64) (feed.KeyedPage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &followRead{e: e, ctx: ctx, answers: make(chan readAnswer, 1), asked: e.Clock.ExactNow()}
	f.send(false, callTimeout, func(ctx context.Context) (feed.KeyedPage, error) {
		return e.Topic.Read(ctx, from, minReadWait)
	})
	next := time.NewTimer(minReadWait)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return feed.KeyedPage{}, fmt.Errorf("%w: %w", feed.ErrUncertain, ctx.Err())
		case <-next.C:
			f.probeFrom(from)
			next.Reset(probeInterval)
		case a := <-f.answers:
			var trimmed *feed.TrimmedError
			// Once a second read was sent, failures are ignored, because another route may still bring an answer.
			if a.err == nil || errors.As(a.err, &trimmed) || !a.probe && f.probes == 0 {
				return a.page, a.err
			}
		}
	}
}
