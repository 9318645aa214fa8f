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

// checkpointState is the offset of the newest checkpoint, when this entry first saw it, and when the next one is due.
type checkpointState struct {
	offset  int64
	seenAt  time.Time
	due     time.Time
	writing bool
}

func (m *checkpointState) reset() { *m = checkpointState{} }

// checkpoint writes the tables to the log when the newest checkpoint is old or many records follow it.
//
// The owner of the duty writes first. Any other entry writes later if no checkpoint has appeared; a redundant checkpoint has no
// effect.
func (c *Controller) checkpoint(now time.Time) {
	m := &c.checkpointState
	if m.seenAt.IsZero() || m.offset != c.tables.Checkpointed {
		m.offset, m.seenAt = c.tables.Checkpointed, now
		m.due = now.Add(c.checkpointEvery()/2 + rand.N(c.checkpointEvery()/2))
	}
	due := m.due
	if c.tables.Offset-m.offset >= c.checkpointRecords() {
		due = m.seenAt
	}
	if !c.ownsDuty("checkpoint", "") {
		due = due.Add(c.checkpointEvery())
	}
	if m.writing || now.Before(due) || c.tables.Offset == m.offset || !c.logState.reachable || c.tables.Version == 0 {
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
	c.checkpointState.writing = true
	go func() {
		_, err := c.FleetLog.Append(c.ctx, [][]byte{data})
		_ = c.post(c.ctx, func() { // post fails only when the entry stops
			c.checkpointState.writing = false
			if err == nil {
				c.Events.Emit(event.CheckpointWritten, event.Subject{}, fmt.Sprintf("up to %d, %d bytes", offset, len(data)))
			}
		})
	}()
}

// Leave removes this entry from the tables after a planned stop.
func (c *Controller) Leave(ctx context.Context) error {
	_, err := c.Publish(ctx, c.Self.ID, fleet.Record{Leave: &fleet.Leave{ID: c.Self.ID, Boot: c.Self.Boot}})
	return err
}
