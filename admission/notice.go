// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"rackstep.dev/job"
)

// Notice is what the leader publishes about its overloaded queues.
type Notice struct {
	// Fence is the fencing token of the leader's term. A notice of an earlier leader may stay in the topic.
	Fence  int64   `cbor:"1,keyasint,omitempty"`
	Queues []Queue `cbor:"2,keyasint,omitempty"`
}

// Key is the key of the notice in the leader's topic.
const Key = "admission"

// Limits of the size of a Notice.
const (
	// MaxQueues is the number of queues, MaxOrganisations that of organisations of one queue.
	MaxQueues        = 8
	MaxOrganisations = 8
)

// Queue is an overloaded queue. All numbers are thousandths, and times are in milliseconds, which keeps the encoding short.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// LogMean, Trust and LogError are those of RunTimes.
	LogMean  int `cbor:"2,keyasint,omitempty"`
	Trust    int `cbor:"3,keyasint,omitempty"`
	LogError int `cbor:"4,keyasint,omitempty"`
	// MeanWork is the mean work of the queue's jobs in thousandths of a core-second.
	MeanWork int `cbor:"5,keyasint,omitempty"`
	// Waits are the lower bounds of the wait by the work of a job, see Levels.
	Waits []job.Milli `cbor:"6,keyasint,omitempty"`
	// Growth is by how many thousandths of a second each wait changes per second.
	Growth []int `cbor:"8,keyasint,omitempty"`
	// Organisations are those with waits of their own, because they are beyond their share.
	Organisations []Organisation `cbor:"7,keyasint,omitempty"`
}

// Organisation is an organisation beyond its share.
type Organisation struct {
	Name  string      `cbor:"1,keyasint"`
	Waits []job.Milli `cbor:"2,keyasint,omitempty"`
}

// Levels are the sizes of jobs, as multiples of the mean work of their queue, for which waits are published. A job waits at least as
// long as one of the next smaller level, because the smaller one yields more for its work and goes first. Jobs below the first level
// are not refused.
func Levels() []float64 { return levels[:] }

var levels = [...]float64{0.25, 0.5, 0.75, 1, 1.5, 2.5, 5}

// NewQueue returns the published form of a queue without organisations. The work is the mean work of its jobs in core-seconds.
func NewQueue(name string, r RunTimes, meanWork float64, waits []time.Duration) Queue {
	return Queue{
		Name: name, LogMean: int(r.LogMean * milli), Trust: int(r.Trust * milli), LogError: int(r.LogError * milli),
		MeanWork: int(meanWork * milli), Waits: Millis(waits),
	}
}

// Growth limits, in thousandths. A wait shrinks by a second per second at most, and half of its latest growth is taken to go on, up to
// maxGrowth.
const (
	minGrowth  = -milli
	maxGrowth  = 2 * milli
	growthPart = 0.5
)

// SetGrowth sets the growth of the waits since an earlier computation. Without one the waits are taken to shrink.
func (q *Queue) SetGrowth(before []job.Milli, elapsed time.Duration) {
	q.Growth = make([]int, len(q.Waits))
	for i := range q.Growth {
		q.Growth[i] = minGrowth
		if i < len(before) && elapsed > 0 {
			rate := (q.Waits[i] - before[i]).Duration().Seconds() / elapsed.Seconds()
			q.Growth[i] = int(min(max(growthPart*rate*milli, minGrowth), maxGrowth))
		}
	}
}

// change returns by how much the wait of a level has changed since the notice was made.
func (q *Queue) change(level int, age time.Duration) time.Duration {
	if level >= len(q.Growth) {
		return -age
	}
	return seconds(float64(q.Growth[level]) / milli * age.Seconds())
}

// Millis converts durations to their published form.
func Millis(ds []time.Duration) []job.Milli {
	out := make([]job.Milli, len(ds))
	for i, d := range ds {
		out[i] = job.Milli(d.Milliseconds())
	}
	return out
}

// Queue returns the overloaded queue with the name, or nil.
func (n *Notice) Queue(name string) *Queue {
	if n == nil {
		return nil
	}
	for i := range n.Queues {
		if n.Queues[i].Name == name {
			return &n.Queues[i]
		}
	}
	return nil
}

// Refuses reports whether the waits are long enough that a job of the queue could be refused.
func Refuses(waits []time.Duration, settings job.Queue) bool {
	for _, w := range waits {
		if w-errorOf(w) > settings.Target {
			return true
		}
	}
	return false
}

func (q *Queue) runTimes() RunTimes {
	return RunTimes{LogMean: float64(q.LogMean) / milli, Trust: float64(q.Trust) / milli, LogError: float64(q.LogError) / milli}
}

// wait returns the lower bound of the wait of a job with the given work in core-seconds, at the given age of the notice.
func (q *Queue) wait(organisation string, work float64, age time.Duration) time.Duration {
	waits := q.Waits
	for i := range q.Organisations {
		if q.Organisations[i].Name == organisation {
			waits = q.Organisations[i].Waits
		}
	}
	var wait time.Duration
	for i, level := range levels {
		if i < len(waits) && q.MeanWork > 0 && work*milli >= level*float64(q.MeanWork) {
			wait = max(waits[i].Duration()+q.change(i, age), 0)
		}
	}
	return wait
}
