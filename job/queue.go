// SPDX-License-Identifier: MIT

package job

import (
	"maps"
	"time"
)

// Queue is the configuration of the jobs of one route.
type Queue struct {
	Name string
	// Pool is the name of the pool whose workers run the tasks of the queue.
	Pool string
	// Priority 0 is the highest. Higher priorities may preempt lower ones.
	Priority int
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int
	// Stretch and Target define the target time of a job, within which it yields its full value: Stretch times the
	// estimated duration of its critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Advice is nil if any worker of the pool may run the steps of the queue.
	Advice *Advice
}

// Equal reports whether two queues have the same settings.
func (q Queue) Equal(o Queue) bool {
	if (q.Advice == nil) != (o.Advice == nil) || (q.Advice != nil && *q.Advice != *o.Advice) {
		return false
	}
	q.Advice, o.Advice = nil, nil
	return q == o
}

// QueueVersion is a queue as one version of the configuration has it.
type QueueVersion struct {
	Queue
	Version int64
}

// Advice describes the timing of the advice service, which decides which workers may run a step.
type Advice struct {
	Decide, Each, Valid time.Duration
}

// Pool is the configuration of one pool of workers.
type Pool struct {
	Name string
	// AdmissionCheck reports that the workers refuse tasks that exceed their free capacity.
	AdmissionCheck bool
	// Headroom pools hold instances that are switched off and cost nothing.
	Headroom bool
}

// Catalog is one version of the configuration of queues and pools.
type Catalog struct {
	Version int64
	Queues  map[string]Queue
	Pools   map[string]Pool
}

// RemovedQueues holds the queues that the configuration does not have any more, by name, as the latest version had them that did. Jobs that were
// accepted then go on under these settings.
type RemovedQueues map[string]QueueVersion

// After returns the removed queues once a version of the configuration has replaced the previous one, which may be nil.
func (r RemovedQueues) After(previous, next *Catalog) RemovedQueues {
	removed := maps.Clone(r)
	if removed == nil {
		removed = make(RemovedQueues)
	}
	if previous != nil {
		for name, q := range previous.Queues {
			removed[name] = QueueVersion{Queue: q, Version: previous.Version}
		}
	}
	for name := range next.Queues {
		delete(removed, name)
	}
	return removed
}
