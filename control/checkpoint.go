// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
)

// checkpointing remembers when the newest checkpoint was seen and when this entry would write the next.
type checkpointing struct {
	seen    int64
	since   time.Time
	due     time.Time
	writing bool
}

func (m *checkpointing) reset() { *m = checkpointing{} }

// checkpoint carries the tables forward in the log when the newest one is old.
//
// The leader writes first; any other entry does so later when none appeared. A second one changes nothing.
func (c *Controller) checkpoint(now time.Time) {
	m := &c.marks
	if m.since.IsZero() || m.seen != c.tables.Checkpointed {
		m.seen, m.since = c.tables.Checkpointed, now
		m.due = now.Add(c.checkpointEvery()/2 + rand.N(c.checkpointEvery()/2))
	}
	due := m.due
	if c.tables.Offset-m.seen >= c.checkpointRecords() {
		due = m.since
	}
	if !c.leads("checkpoint", "") {
		due = due.Add(c.checkpointEvery())
	}
	if m.writing || now.Before(due) || c.tables.Offset == m.seen || !c.reach.log || c.tables.Version == 0 {
		return
	}
	m.due = now.Add(c.checkpointEvery() / 2)
	c.writeCheckpoint()
}

func (c *Controller) checkpointEvery() time.Duration {
	if c.CheckpointEvery > 0 {
		return c.CheckpointEvery
	}
	return DefaultCheckpointEvery
}

func (c *Controller) checkpointRecords() int64 {
	if c.CheckpointRecords > 0 {
		return c.CheckpointRecords
	}
	return DefaultCheckpointRecords
}

func (c *Controller) writeCheckpoint() {
	b, err := c.tables.Checkpoint()
	if err != nil {
		c.Events.Emit(event.RecordRefused, event.Subject{}, err.Error())
		return
	}
	offset := c.tables.Offset
	data, err := c.encode(fleet.Record{ID: fmt.Sprintf("checkpoint.%d.%s", offset, c.Self.Boot), Checkpoint: &fleet.Checkpoint{Offset: offset, Tables: b}})
	if err != nil {
		c.Events.Emit(event.RecordRefused, event.Subject{}, err.Error())
		return
	}
	c.marks.writing = true
	go func() {
		_, err := c.FleetLog.Append(c.ctx, [][]byte{data})
		_ = c.post(c.ctx, func() { // it fails only when the entry stops
			c.marks.writing = false
			if err == nil {
				c.Events.Emit(event.CheckpointWritten, event.Subject{}, fmt.Sprintf("up to %d, %d bytes", offset, len(data)))
			}
		})
	}()
}

// Leave ends this entry's life in the tables after a planned stop.
func (c *Controller) Leave(ctx context.Context) error {
	_, err := c.Publish(ctx, c.Self.ID, fleet.Record{Leave: &fleet.Leave{ID: c.Self.ID, Boot: c.Self.Boot}})
	return err
}
