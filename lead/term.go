// SPDX-License-Identifier: MIT

package lead

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/event"
	"rackstep.dev/feed"
)

// fenceBits is the number of low bits of a fence that are drawn at random, so that two candidates of one term are unlikely to
// share a fence. Only half of the range is drawn from; the leader raises its tokens within the rest.
const fenceBits = 16

// takeTerm appends the record of the next term, on the condition that no other record was appended meanwhile.
func (e *Elector) takeTerm(ctx context.Context) {
	e.mu.Lock()
	term, weight := e.latest.Term+1, e.latest.Weight
	end := e.end
	why := e.candidacy()
	e.mu.Unlock()
	// Until the first renewal nothing is known about the earlier leaders, so the record assumes the worst of them.
	rec := Record{Entry: e.Entry, Address: e.Address, Boot: e.Boot, Weight: max(e.Weight, weight), Term: term, Fence: term<<fenceBits | rand.Int64N(1<<(fenceBits-1)), PredecessorsActive: term > 1, PredecessorsUnstored: term > 1}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	sent := e.Clock.ExactNow()
	next, err := e.append(call, renewal{record: rec}, end)
	cancel()
	if err == nil {
		err = e.verifyTerm(ctx, rec, end)
	}
	e.drawJitter()
	if err != nil {
		// If only the answer was lost, the record may still appear. Its fence is never used, so it merely delays the next term.
		e.Events.Emit(event.LeadNotTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d %s err=%q", term, why, err))
		return
	}
	serveCtx, cancelTerm := context.WithCancel(ctx)
	t := e.beginTerm(rec, next, sent, cancelTerm)
	if e.OnRecord != nil {
		e.OnRecord(rec)
	}
	e.Events.Emit(event.LeadTaken, event.Subject{Entry: e.Entry}, fmt.Sprintf("term=%d fence=%d %s", term, rec.Fence, why))
	go e.serveTerm(serveCtx, rec, t)
}

// beginTerm records that this entry leads from now on, and returns its term. The term's record was first sent at sent, and the
// topic ended at end after it.
func (e *Elector) beginTerm(rec Record, end int64, sent time.Time, cancelTerm context.CancelFunc) Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := Term{Number: rec.Term, Fence: rec.Fence, PredecessorRenewed: e.renewedAt}
	t.CleanHandover = e.latest.Term == 0 || (e.latest.Released && !e.latest.PredecessorsActive)
	t.PredecessorsUnstored = e.latest.Unstored || e.latest.PredecessorsUnstored || (!t.CleanHandover && e.recentOutage()) // the record of a released term tells
	t.SeveralUnsettled = e.latest.PredecessorsUnstored || e.latest.PredecessorsActive
	t.Exclusive = t.CleanHandover || (e.ledByEarlierBoot() && !e.latest.PredecessorsActive)
	e.predecessorsActive, e.predecessorsUnstored = !t.Exclusive, t.PredecessorsUnstored
	e.unstored, e.unstoredPublished = false, false
	e.latest, e.end = rec, end
	e.cancelTerm, e.fence = cancelTerm, rec.Fence
	e.lastHeard, e.confirmedAt = e.Clock.Now(), sent
	e.tookAt, e.successor, e.handoverDue = e.lastHeard, nil, false
	clear(e.reports)
	e.requirement.lowSince = [resourceCount]time.Time{}
	return t
}

// verifyTerm reads the term's record back and fails if it belongs to another entry.
//
// Two candidates may draw the same fence. The store then takes the second record for a repetition of the first, which has the
// same epoch and sequence number, and reports success to both. Without this check both would lead until a later term begins.
func (e *Elector) verifyTerm(ctx context.Context, rec Record, end int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout) // a separate timeout, because a slow store may use up most of one for the append
	defer cancel()
	page, err := e.readBack(ctx, end)
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

// append appends a leader's record and the records that accompany it in one batch.
func (e *Elector) append(ctx context.Context, r renewal, at int64) (int64, error) {
	value, err := cbor.Marshal(r.record)
	if err != nil {
		return 0, fmt.Errorf("encode the leader's record: %w", err)
	}
	return e.Topic.Append(ctx, feed.Batch{
		Records: append([]feed.KeyedRecord{{Key: key, Value: value}}, r.extra...), ExpectedEnd: at,
		Writer: feed.Writer{Name: writer, Epoch: r.record.Fence, Sequence: r.sequence},
	})
}
