// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the scheduler's counters and histograms; they live as long as the process.
type metrics struct {
	scope                    tally.Scope
	jobs, firstStarts, batch tally.Histogram
	ordered, lost, moves     tally.Counter
	// runsLost are the runs whose worker's life ended under them, givenUp the jobs that were given up for it.
	runsLost, givenUp    tally.Counter
	upkeeps, looseStarts tally.Counter
	// capped counts the steps that began to wait for their organisation's cap.
	capped tally.Counter
	// silent are the workers that do not answer, doubted the runs that are or may be on them.
	silent, doubted tally.Gauge
	// reborn counts the workers that began anew under the ID that they had.
	reborn tally.Counter
	// aside counts the records that the store never takes.
	aside tally.Counter
	// misread are the entries of the list of workers that name none.
	misread tally.Gauge
}

// buckets are the histograms' bounds: from some milliseconds to what no client waits for.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		scope: scope,
		jobs:  scope.Histogram("job_duration", buckets), firstStarts: scope.Histogram("job_first_start", buckets),
		batch: scope.Histogram("state_batch", buckets), ordered: scope.Counter("runs_ordered"), lost: scope.Counter("workers_lost"),
		runsLost: scope.Counter("runs_lost"), givenUp: scope.Counter("jobs_given_up"),
		moves: scope.Counter("instances_moved"), upkeeps: scope.Counter("upkeeps_begun"), looseStarts: scope.Counter("runs_ordered_unkept"),
		capped: scope.Counter("steps_capped"), reborn: scope.Counter("workers_reborn"), aside: scope.Counter("records_aside"), misread: scope.Gauge("entries_misread"), silent: scope.Gauge("workers_silent"), doubted: scope.Gauge("runs_on_silent_workers"),
	}
}

// ended counts a run's end by its way.
func (m *metrics) ended(how string) {
	m.scope.Tagged(map[string]string{"how": how}).Counter("runs_ended").Inc(1)
}

// wasted counts core-seconds of work that ended without being done or saved, by the way it ended.
func (m *metrics) wasted(cause string, coreSeconds float64) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("core_milliseconds_wasted").Inc(int64(coreSeconds * 1000))
}

// refused counts a refused order by its reason.
func (m *metrics) refused(why string) {
	m.scope.Tagged(map[string]string{"why": why}).Counter("orders_refused").Inc(1)
}

// drainLeft tells how many runs are left in a drained data centre.
func (m *metrics) drainLeft(dataCentre string, runs int) {
	m.scope.Tagged(map[string]string{"datacentre": dataCentre}).Gauge("runs_in_drained").Update(float64(runs))
}

// takeover records how long after its term a new leader reached a step of taking over.
func (m *metrics) takeover(step string, after time.Duration) {
	m.scope.Tagged(map[string]string{"step": step}).Histogram("takeover", buckets).RecordDuration(after)
}

// modeLasted counts the time that a degraded mode has lasted.
func (m *metrics) modeLasted(of mode, d time.Duration) {
	m.scope.Tagged(map[string]string{"mode": of.String()}).Counter("mode_milliseconds").Inc(d.Milliseconds())
}
