// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rackstep.dev/job"
)

// A job that was accepted a moment ago may not have been read yet. Its state may be answered as unknown for as long as that. A cancellation may not: the client would not send it
// again, and the job would run. Before a cancellation an unknown job is therefore certainly absent only if the intake holds nothing that was not read when the query arrived.

const (
	// absenceInterval is the minimum interval between two checks, each of which makes a call to the store for each partition of the intake.
	absenceInterval = 100 * time.Millisecond
	// absenceTimeout bounds a check. The entry that asks waits for twice as long.
	absenceTimeout = 300 * time.Millisecond
)

// answerUnknown answers a query about a job that the tables don't hold for its caller. free is set if the tables hold no job of that ID at all; otherwise a job of the caller's
// could not run.
func (c *session) answerUnknown(m jobQuestion, free bool) {
	certain := c.intakeIsCurrent()
	if !certain || !m.Cancel || !free {
		m.reply <- job.Answer{Certain: certain}
		return
	}
	now := c.now()
	if now.Sub(c.absenceCheckedAt) < absenceInterval {
		m.reply <- job.Answer{}
		return
	}
	c.absenceCheckedAt = now
	offsets := slices.Clone(c.intakeOffsets)
	c.background.Go(func() { m.reply <- job.Answer{Certain: c.intakeEndsAt(offsets)} })
}

// intakeEndsAt reports whether the partitions of the intake hold no records from the given offsets on.
func (c *session) intakeEndsAt(offsets []int64) bool {
	ctx, cancel := context.WithTimeout(c.ctx, absenceTimeout)
	defer cancel()
	var more atomic.Bool
	var readers sync.WaitGroup
	for part, topic := range c.Intake {
		readers.Go(func() {
			if page, err := topic.Read(ctx, offsets[part], 0); err != nil || len(page.Records) > 0 {
				more.Store(true)
			}
		})
	}
	readers.Wait()
	return !more.Load()
}
