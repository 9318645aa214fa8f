// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"errors"
	"fmt"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/fleet"
)

// bootstrap is what was read of the log before the entry has tables.
type bootstrap struct {
	done    bool
	records []feed.Entry
	first   int64
}

// errNoTables means that neither the log nor a peer gave tables yet.
var errNoTables = errors.New("no checkpoint in the log and no tables from a peer yet")

// follow reads the fleet log until the context ends.
func (c *Controller) follow(ctx context.Context) {
	r := feed.Reader{Log: c.FleetLog}
	r.OnPage = func(ctx context.Context, p feed.Page) (next int64, err error) {
		if err := c.do(ctx, func() { next, err = c.page(p) }); err != nil {
			return 0, err
		}
		return next, err
	}
	r.OnTrimmed = func(ctx context.Context, first int64) (next int64, err error) {
		c.Events.Emit(event.LogTrimmed, event.Subject{}, fmt.Sprintf("the log begins at %d", first))
		return c.trimmed(ctx, first)
	}
	r.OnError = c.readFailed
	_ = r.Run(ctx) // it ends with the context
}

// page folds one page, or keeps it until the end of the log is reached.
func (c *Controller) page(p feed.Page) (next int64, err error) {
	c.reached(true)
	if !c.boot.done {
		return c.bootPage(p)
	}
	for _, e := range p.Records {
		c.apply(e)
	}
	c.publish()
	return c.tables.Offset + 1, nil
}

func (c *Controller) bootPage(p feed.Page) (next int64, err error) {
	if len(c.boot.records) == 0 {
		c.boot.first = p.First
		if len(p.Records) > 0 {
			c.boot.first = p.Records[0].Offset
		}
	}
	c.boot.records = append(c.boot.records, p.Records...)
	next = p.Next
	if n := len(c.boot.records); n > 0 {
		next = c.boot.records[n-1].Offset + 1
	}
	if next < p.Next {
		return next, nil
	}
	t := newestCheckpoint(c.boot.records, c.boot.first)
	if t == nil {
		return next, errNoTables
	}
	records := c.boot.records
	c.adopt(t)
	c.boot = bootstrap{done: true}
	for _, e := range records {
		c.apply(e)
	}
	c.publish()
	return c.tables.Offset + 1, nil
}

// newestCheckpoint returns the tables to start from, or nil when the records leave a gap after every checkpoint.
func newestCheckpoint(records []feed.Entry, first int64) *fleet.Tables {
	var best *fleet.Checkpoint
	for _, e := range records {
		r, err := fleet.DecodeRecord(e.Data)
		if err != nil || r.Checkpoint == nil || r.Checkpoint.Offset+1 < first {
			continue
		}
		if best == nil || r.Checkpoint.Offset > best.Offset {
			best = r.Checkpoint
		}
	}
	if best != nil {
		if t, err := fleet.LoadCheckpoint(best.Tables); err == nil {
			return t
		}
	}
	if first == 0 {
		return fleet.New()
	}
	return nil
}

// adopt takes tables that are further than this entry's own.
func (c *Controller) adopt(t *fleet.Tables) {
	if c.tables != nil && c.tables.Offset >= t.Offset {
		return
	}
	c.tables = t
	c.boot = bootstrap{done: true}
	c.tail.reset(t.Offset)
	c.marks.reset()
	c.viewed = false
}

// trimmed goes on where the log begins, after the gap was filled by a peer or by a checkpoint in the log.
func (c *Controller) trimmed(ctx context.Context, first int64) (next int64, err error) {
	c.catchUp(ctx)
	err = c.do(ctx, func() {
		if c.tables != nil && c.tables.Offset+1 >= first {
			next = c.tables.Offset + 1
			return
		}
		// Older tables stay in force until newer ones are found.
		c.boot = bootstrap{}
		next = first
	})
	return next, err
}

// readFailed asks peers for what the log does not give.
func (c *Controller) readFailed(ctx context.Context, next int64, err error) int64 {
	_ = c.do(ctx, func() {
		if !errors.Is(err, errNoTables) {
			c.reached(false)
		}
	})
	c.catchUp(ctx)
	_ = c.do(ctx, func() {
		if c.boot.done {
			next = c.tables.Offset + 1
		}
	})
	return next
}

func (c *Controller) reached(log bool) {
	if c.reach.said && c.reach.log == log {
		return
	}
	c.reach = reach{log: log, said: true}
	if log {
		c.Events.Emit(event.LogReachable, event.Subject{}, "")
		return
	}
	c.Events.Emit(event.LogUnreachable, event.Subject{}, "")
}

// apply folds one record.
func (c *Controller) apply(e feed.Entry) {
	if e.Offset <= c.tables.Offset {
		return
	}
	c.tail.add(e)
	r, err := fleet.DecodeRecord(e.Data)
	if err != nil {
		r = fleet.Record{} // it is refused at every entry
	}
	refusal := c.tables.Apply(e.Offset, r)
	c.Events.SetOffset(e.Offset)
	if refusal == nil && affectsTraffic(r) {
		c.viewed = false
	}
	c.writer.readBack(r, fleet.Result{ID: r.ID, Offset: e.Offset, Version: c.tables.Version, Refusal: refusal})
	c.tell(r, refusal)
}

func affectsTraffic(r fleet.Record) bool {
	return r.Configure != nil || r.Observe != nil || r.Join != nil || r.Leave != nil || r.Advance != nil
}

// followClaims reads the claims log until the context ends.
func (c *Controller) followClaims(ctx context.Context) {
	started := false
	r := feed.Reader{Log: c.ClaimsLog}
	r.OnPage = func(_ context.Context, p feed.Page) (int64, error) {
		next := p.Next
		if len(p.Records) > 0 {
			next = p.Records[len(p.Records)-1].Offset + 1
		}
		for _, e := range p.Records {
			if !started {
				started = true
				c.Registry.StartAt(e.Offset, e.Data)
			}
			if err := c.Registry.Fold(e.Data); err != nil {
				c.Events.Emit(event.ClaimsUnreadable, event.Subject{}, err.Error())
			}
		}
		c.Registry.SetReady(next >= p.Next)
		return next, nil
	}
	r.OnTrimmed = func(_ context.Context, first int64) (int64, error) {
		c.Registry.Gap()
		return first, nil
	}
	r.OnError = func(_ context.Context, next int64, _ error) int64 { return next }
	_ = r.Run(ctx) // it ends with the context
}
