// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/job"
)

const (
	// maxFirstAsked bounds the number of remembered queries for unknown jobs.
	maxFirstAsked = 20000
	// firstAskedTTL is how long such a query is remembered, longer than clients retry.
	firstAskedTTL = time.Minute
)

// recordAsked records when a job that is not known was first asked about. An entry asks before it refuses a job because of load.
func (c *session) recordAsked(q job.Query, now time.Time) {
	name := job.Qualify(q.Organisation, q.ID)
	if _, ok := c.firstAsked[name]; ok || len(c.firstAsked) >= maxFirstAsked {
		return
	}
	if c.firstAsked == nil {
		c.firstAsked = make(map[job.QualifiedID]time.Time)
	}
	c.firstAsked[name] = now
}

// firstAttempt returns since when the client of a new job has been waiting: now, or since the job was first refused.
//
// A refused client's target time runs from its first attempt. A job that comes back is late then, and must not go before new ones that
// can be in time.
func (c *session) firstAttempt(name job.QualifiedID, now time.Time) time.Time {
	if at, ok := c.firstAsked[name]; ok {
		delete(c.firstAsked, name)
		return at
	}
	return now
}

func (c *session) forgetFirstAsked(now time.Time) {
	for name, at := range c.firstAsked {
		if now.Sub(at) > firstAskedTTL {
			delete(c.firstAsked, name)
		}
	}
}
