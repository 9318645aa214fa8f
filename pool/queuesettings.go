// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// Defaults for a job whose queue is not in the configuration, if no settings of the queue are known: the job was accepted by an entry of an earlier
// version, which stored none, and no entry that has led since has read them.
const (
	defaultAttempts = 3
	defaultStretch  = 2
	defaultTarget   = time.Second
)

// queue returns the settings of the job's queue: those of the configuration, or the latest known ones if the queue has been removed.
func (c *session) queue(j *job.Job) job.Queue {
	name := j.Spec.Queue
	latest, known := c.storedQueues[name]
	if c.config != nil {
		if q, ok := c.config.Queues[name]; ok {
			return q
		}
	}
	if q, ok := c.removedQueues[name]; ok && (!known || q.Version >= latest.Version) {
		latest, known = q, true
	}
	if known {
		return latest.Queue
	}
	return job.Queue{Name: name, Pool: j.Spec.Pool, Attempts: defaultAttempts, Stretch: defaultStretch, Target: defaultTarget}
}

// updateRemovedQueues takes over what this entry has read of queues that are not in the configuration.
func (c *session) updateRemovedQueues() {
	c.Scheduler.mu.Lock()
	defer c.Scheduler.mu.Unlock()
	c.removedQueues = c.Scheduler.removedQueues
}

// readQueue applies a record of the intake with the settings of a queue, and reports whether it is one.
func (c *session) readQueue(r feed.KeyedRecord) bool {
	name, ok := job.ParseQueueKey(r.Key)
	if !ok || len(r.Value) == 0 {
		return ok
	}
	q, err := job.DecodeQueue(name, r.Value)
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Job: r.Key}, "offset=%d err=%v", r.Offset, err)
		return true
	}
	if before, known := c.storedQueues[name]; !known || q.Version >= before.Version {
		c.storedQueues[name] = q
	}
	return true
}
