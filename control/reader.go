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

// bootstrap collects the records of the log until the entry has tables.
type bootstrap struct {
	done    bool
	records []feed.Entry
	first   int64
}

// errNoTables means that the entry has no tables yet, because neither the log nor a peer has provided them.
var errNoTables = errors.New("no checkpoint in the log and no tables from a peer yet")

// followFleetLog reads the fleet log until the context ends.
func (c *Controller) followFleetLog(ctx context.Context) {
	r := feed.Reader{Log: c.FleetLog}
	r.OnPage = func(ctx context.Context, p feed.Page) (next int64, err error) {
		if err := c.do(ctx, func() { next, err = c.handlePage(p) }); err != nil {
			return 0, err
		}
		return next, err
	}
	r.OnTrimmed = func(ctx context.Context, first int64) (next int64, err error) {
		c.Events.Emit(event.LogTrimmed, event.Subject{}, fmt.Sprintf("the log begins at %d", first))
		return c.handleTrim(ctx, first)
	}
	r.OnError = c.handleReadFailure
	_ = r.Run(ctx) // Run ends only with the context
}

// handlePage applies one page of records. Before the entry has tables, it collects pages until the end of the log.
func (c *Controller) handlePage(p feed.Page) (next int64, err error) {
	c.setLogReachable(true)
	if !c.boot.done {
		return c.handleBootPage(p)
	}
	for _, e := range p.Records {
		c.apply(e)
	}
	c.publish()
	return c.tables.Offset + 1, nil
}

// handleBootPage collects the page and, at the end of the log, builds the tables from the collected records.
func (c *Controller) handleBootPage(p feed.Page) (next int64, err error) {
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
	t := initialTables(c.boot.records, c.boot.first)
	if t == nil {
		return next, errNoTables
	}
	records := c.boot.records
	c.adoptTables(t)
	c.boot = bootstrap{done: true}
	for _, e := range records {
		c.apply(e)
	}
	c.publish()
	return c.tables.Offset + 1, nil
}

// initialTables returns the tables of the newest checkpoint that the records continue without a gap, empty tables if there is none
// and the records begin at offset 0, or nil.
func initialTables(records []feed.Entry, first int64) *fleet.Tables {
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

// adoptTables replaces this entry's tables if the given ones have a higher offset.
func (c *Controller) adoptTables(t *fleet.Tables) {
	if c.tables != nil && c.tables.Offset >= t.Offset {
		return
	}
	c.tables = t
	c.boot = bootstrap{done: true}
	c.tail.reset(t.Offset)
	c.checkpointState.reset()
	c.viewCurrent = false
}

// handleTrim returns the offset at which to continue reading after the log has dropped records before they were read. The gap is
// filled by a peer, or else by a checkpoint that is found in the log.
func (c *Controller) handleTrim(ctx context.Context, first int64) (next int64, err error) {
	c.catchUp(ctx)
	err = c.do(ctx, func() {
		if c.tables != nil && c.tables.Offset+1 >= first {
			next = c.tables.Offset + 1
			return
		}
		// The old tables stay in use until newer ones are found.
		c.boot = bootstrap{}
		next = first
	})
	return next, err
}

// handleReadFailure requests the missing records or tables from peers.
func (c *Controller) handleReadFailure(ctx context.Context, next int64, err error) int64 {
	_ = c.do(ctx, func() {
		if !errors.Is(err, errNoTables) {
			c.setLogReachable(false)
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

// setLogReachable emits an event when the reachability of the fleet log has changed.
func (c *Controller) setLogReachable(reachable bool) {
	if c.logState.reported && c.logState.reachable == reachable {
		return
	}
	c.logState = logState{reachable: reachable, reported: true}
	if reachable {
		c.Events.Emit(event.LogReachable, event.Subject{}, "")
		return
	}
	c.Events.Emit(event.LogUnreachable, event.Subject{}, "")
}

// apply applies one record of the fleet log to the tables.
func (c *Controller) apply(e feed.Entry) {
	if e.Offset <= c.tables.Offset {
		return
	}
	c.tail.add(e)
	r, err := fleet.DecodeRecord(e.Data)
	if err != nil {
		r = fleet.Record{} // an empty record, which every entry refuses
	}
	refusal := c.tables.Apply(e.Offset, r)
	c.Events.SetOffset(e.Offset)
	if refusal == nil && affectsTraffic(r) {
		c.viewCurrent = false
	}
	c.writer.readBack(r, fleet.Result{ID: r.ID, Offset: e.Offset, Version: c.tables.Version, Refusal: refusal})
	c.emitRecordEvent(r, refusal)
}

// affectsTraffic reports whether the record may change a view.
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
			if err := c.Registry.Apply(e.Data); err != nil {
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
	_ = r.Run(ctx) // Run ends only with the context
}
