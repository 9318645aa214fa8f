// SPDX-License-Identifier: MIT

package job

import "time"

// Queue is what the configuration says of the jobs of one route.
type Queue struct {
	Name string
	// Pool is the pool of workers that runs the queue's tasks.
	Pool string
	// Priority 0 comes first and may preempt others.
	Priority int
	// Attempts is how many runs of a task may fail before its job has failed.
	Attempts int
	// Stretch and Target give the time within which a job earns fully: Stretch times its longest chain, plus Target.
	Stretch float64
	Target  time.Duration
	// Advice is nil when any worker of the pool may run the queue's steps.
	Advice *Advice
}

// Advice is how long the advice service takes to say which workers may run a step.
type Advice struct {
	Decide, Each, Valid time.Duration
}

// Pool is what the configuration says of one pool of workers.
type Pool struct {
	Name string
	// AdmissionCheck says that the workers refuse what does not fit.
	AdmissionCheck bool
	// Headroom pools are off and cost nothing.
	Headroom bool
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Queues  map[string]Queue
	Pools   map[string]Pool
}
