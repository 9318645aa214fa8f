// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"errors"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/fleet"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
)

// tail keeps the latest records of the fleet log for peers that can't read it.
type tail struct {
	// after is the offset before the first record kept.
	after   int64
	records []feed.Entry
	bytes   int
}

// maxTail bounds the tail in bytes.
const maxTail = 2 << 20

func (t *tail) reset(after int64) { *t = tail{after: after} }

func (t *tail) add(e feed.Entry) {
	t.records = append(t.records, e)
	t.bytes += len(e.Data)
	drop := 0
	for t.bytes > maxTail && drop < len(t.records) {
		t.bytes -= len(t.records[drop].Data)
		t.after = t.records[drop].Offset
		drop++
	}
	if drop > 0 {
		t.records = append([]feed.Entry(nil), t.records[drop:]...)
	}
}

// since returns the records after the offset, and false when some of them are no longer kept.
func (t *tail) since(after int64) ([]feed.Entry, bool) {
	if after < t.after {
		return nil, false
	}
	for i, e := range t.records {
		if e.Offset > after {
			return t.records[i:], true
		}
	}
	return nil, true
}

// serveCatchUp sends a peer the records that it misses, or the tables.
func (c *Controller) serveCatchUp(ctx context.Context, q *peerpb.CatchUp, s *peer.Stream) {
	answer := new(peerpb.CatchUpAnswer)
	var failed error
	err := c.do(ctx, func() {
		if c.tables == nil {
			failed = errNoTables
			return
		}
		records, ok := c.tail.since(q.After)
		if !ok {
			answer.Tables, failed = c.tables.Checkpoint()
			return
		}
		for _, e := range records {
			answer.Records = append(answer.Records, &peerpb.LogRecord{Offset: e.Offset, Data: e.Data})
		}
	})
	if errors.Join(err, failed) != nil {
		s.Close() // the peer sees at once that there is no answer
		return
	}
	_ = s.Send(answer) // a peer that has gone asks again
}

// catchUp asks the linked peers for what this entry misses of the fleet log.
func (c *Controller) catchUp(ctx context.Context) {
	for _, entry := range c.Mesh.ConnectedPeers() {
		after := int64(-1)
		if c.do(ctx, func() {
			if c.tables != nil {
				after = c.tables.Offset
			}
		}) != nil {
			return
		}
		answer, err := c.askPeer(ctx, entry, after)
		if err != nil {
			continue
		}
		_ = c.do(ctx, func() { c.takeFromPeer(entry, answer) }) // it fails only when the entry stops
	}
}

func (c *Controller) askPeer(ctx context.Context, entry string, after int64) (*peerpb.CatchUpAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingTime)
	defer cancel()
	s, err := c.Mesh.Open(ctx, entry, &peerpb.Open{Kind: &peerpb.Open_CatchUp{CatchUp: &peerpb.CatchUp{After: after}}})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	answer := new(peerpb.CatchUpAnswer)
	return answer, s.Receive(answer)
}

func (c *Controller) takeFromPeer(entry string, a *peerpb.CatchUpAnswer) {
	if len(a.Tables) > 0 {
		t, err := fleet.LoadCheckpoint(a.Tables)
		if err != nil {
			return
		}
		c.adopt(t)
		c.Events.Emit(event.TablesFromPeer, event.Subject{Entry: entry}, "")
	}
	if c.tables == nil {
		if len(a.Records) == 0 || a.Records[0].Offset != 0 {
			return
		}
		c.adopt(fleet.New())
	}
	applied := 0
	for _, r := range a.Records {
		if r.Offset == c.tables.Offset+1 {
			c.apply(feed.Entry{Offset: r.Offset, Data: r.Data})
			applied++
		}
	}
	if applied > 0 {
		c.Events.Emit(event.TailFromPeer, event.Subject{Entry: entry}, "")
	}
	c.publish()
}
