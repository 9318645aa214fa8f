// SPDX-License-Identifier: MIT

package job

import "time"

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
