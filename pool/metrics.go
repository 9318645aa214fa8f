// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the scheduler's counters and histograms. They live as long as the process.
type metrics struct {
	scope                    tally.Scope
	jobs, firstStarts, batch tally.Histogram
	ordered, lost, moves     tally.Counter
	// runsLost counts the runs whose worker incarnation ended while it had them, givenUp the jobs that were given up because of that.
	runsLost, givenUp            tally.Counter
	maintenances, unstoredStarts tally.Counter
	// shifts counts the moves while the pools together wanted more instances than there were.
	shifts tally.Counter
	// capped counts how often a step began to wait for the cap of its organisation.
	capped tally.Counter
	// silentWorkers is the number of workers that do not answer, uncertainRuns the number of runs that are or may be on them.
	silentWorkers, uncertainRuns tally.Gauge
	// restartedWorkers counts the workers that restarted under the same ID.
	restartedWorkers tally.Counter
	// rejectedRecords counts the records that the store permanently rejects.
	recordsAside tally.Counter
	// heldInWaves is the number of instances of maintenance waves that wait for a burst to end.
	heldInWaves tally.Gauge
	// unreadableEntries is the number of unreadable entries in the list of workers.
	unreadableEntries tally.Gauge
	waits             waitMetrics
}

// buckets are the bounds of the histograms, from 5 ms to 41 s, longer than any client waits.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		scope: scope, waits: newWaitMetrics(scope),
		jobs: scope.Histogram("job_duration", buckets), firstStarts: scope.Histogram("job_first_start", buckets),
		batch: scope.Histogram("state_batch", buckets), ordered: scope.Counter("runs_ordered"), lost: scope.Counter("workers_lost"),
		runsLost: scope.Counter("runs_lost"), givenUp: scope.Counter("jobs_given_up"),
		moves: scope.Counter("instances_moved"), shifts: scope.Counter("instances_shifted"), maintenances: scope.Counter("upkeeps_begun"), unstoredStarts: scope.Counter("runs_ordered_unkept"),
		capped: scope.Counter("steps_capped"), restartedWorkers: scope.Counter("workers_reborn"), recordsAside: scope.Counter("records_aside"), unreadableEntries: scope.Gauge("entries_misread"), heldInWaves: scope.Gauge("upkeeps_held"), silentWorkers: scope.Gauge("workers_silent"), uncertainRuns: scope.Gauge("runs_on_silent_workers"),
	}
}

// ended counts the end of a run by its outcome.
func (m *metrics) ended(how string) {
	m.scope.Tagged(map[string]string{"how": how}).Counter("runs_ended").Inc(1)
}

// wasted counts the CPU time of runs that ended without completing their task or saving progress, by cause.
func (m *metrics) wasted(cause string, coreSeconds float64) {
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("core_milliseconds_wasted").Inc(int64(coreSeconds * 1000))
}

// refused counts a rejected order by reason.
func (m *metrics) refused(why string) {
	m.scope.Tagged(map[string]string{"why": why}).Counter("orders_refused").Inc(1)
}

// drainRemaining sets the number of runs left in a drained data centre.
func (m *metrics) drainRemaining(dataCentre string, runs int) {
	m.scope.Tagged(map[string]string{"datacentre": dataCentre}).Gauge("runs_in_drained").Update(float64(runs))
}

// poolSize sets the numbers of instances that a pool wants, is granted and has. They differ during a shortage.
func (m *metrics) poolSize(pool string, wanted, granted float64, have int) {
	s := m.scope.Tagged(map[string]string{"pool": pool})
	s.Gauge("instances_wanted").Update(wanted)
	s.Gauge("instances_granted").Update(granted)
	s.Gauge("instances_held").Update(float64(have))
}

// takeover records the time from the start of its term until a new leader reached a step of the takeover.
func (m *metrics) takeover(step string, after time.Duration) {
	m.scope.Tagged(map[string]string{"step": step}).Histogram("takeover", buckets).RecordDuration(after)
}

// modeLasted adds the duration of a period in a degraded mode.
func (m *metrics) modeLasted(of mode, d time.Duration) {
	m.scope.Tagged(map[string]string{"mode": of.String()}).Counter("mode_milliseconds").Inc(d.Milliseconds())
}
