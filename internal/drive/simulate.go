// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
	"rackstep.dev/plan"
)

// Policy selects rackstep's decisions or the baseline, and the conditions of the wave.
type Policy struct {
	// Baseline maintains one rack at a time, checkpoints every job as soon as its instance drains, and places each job on
	// the first worker with room.
	Baseline bool
	// RackFails takes one rack down for rackOutage during the wave.
	RackFails bool
	// Declared plans with the sizes and run times that callers declare, as if the platform reported no usage.
	Declared bool
}

// SumWaves simulates a wave for each seed and sums the results, so that ratios of two sums are weighted means.
func SumWaves(s Size, p Policy, seeds int) Result {
	sum := Result{Size: s.Name, Policy: p, Completed: true}
	for seed := range seeds {
		r := SimulateWave(s, p, uint64(seed))
		sum.RollOut += r.RollOut
		sum.RollOutBound += r.RollOutBound
		sum.Moves += r.Moves
		sum.MovesBound += r.MovesBound
		sum.UnavoidableMoves += r.UnavoidableMoves
		sum.RepeatMoves += r.RepeatMoves
		sum.Buffer += r.Buffer
		sum.BufferBound += r.BufferBound
		sum.PeakOut = max(sum.PeakOut, r.PeakOut)
		sum.Jobs += r.Jobs
		sum.Completed = sum.Completed && r.Completed
		sum.RunSeconds += r.RunSeconds
		sum.SlowedSeconds += r.SlowedSeconds
		sum.OverloadSeconds += r.OverloadSeconds
		sum.Measures += r.Measures
		sum.Throttles += r.Throttles
		sum.Yields += r.Yields
		sum.MinMargin = min(sum.MinMargin, r.MinMargin)
	}
	return sum
}

// Result holds the measurements of one maintenance wave and the bounds to compare them with.
type Result struct {
	Size         string
	Policy       Policy
	RollOut      time.Duration
	RollOutBound time.Duration
	Moves        int
	// MovesBound counts the initial jobs that were still unfinished when their instance began to drain.
	MovesBound int
	// UnavoidableMoves counts the initial jobs that outlast the shortest possible wave, whatever the order of the
	// instances.
	UnavoidableMoves int
	// RepeatMoves counts the moves after the first of each job.
	RepeatMoves int
	// Buffer is the mean number of instances out of service during the wave, BufferBound the lowest possible mean for a
	// wave of the same duration.
	Buffer, BufferBound float64
	// PeakOut is the highest number of instances out of service at once.
	PeakOut int
	// Jobs is the number of jobs submitted; Completed reports whether the plan finished within maxWaveTime.
	Jobs      int
	Completed bool
	// RunSeconds is the run time of all jobs together. SlowedSeconds is the part lost to throttles and overload, and
	// OverloadSeconds the part lost to overload alone, when jobs demand more cores than their instance has.
	RunSeconds, SlowedSeconds, OverloadSeconds float64
	// Measures, Throttles and Yields count the decisions based on reported usage.
	Measures, Throttles, Yields int
	// MinMargin is the lowest spare capacity of any budget when an instance began to drain.
	MinMargin int
}

const (
	tick        = 5 * time.Second
	maxWaveTime = 48 * time.Hour
	rackOutage  = 30 * time.Minute
	// checkpointTime is the time that a job takes to write a checkpoint and stop.
	checkpointTime = 10 * time.Second
)

// simJob is the true state of a job, which the decisions can't see.
type simJob struct {
	remaining    time.Duration // true run time that remains
	cores        float64       // cores used when neither throttled nor on an overloaded instance
	usage        place.Usage   // usage that the platform reports
	startedAt    time.Time     // start of the current attempt
	checkpointAt time.Time     // when its checkpoint is complete; zero if none was requested
	uncounted    bool          // it was running before the wave and is not yet counted in MovesBound
}

// simulation is the state of one simulated wave.
type simulation struct {
	size        Size
	policy      Policy
	tables      *fleet.Tables
	now         time.Time
	offset      int64
	random      *rand.Rand
	jobs        map[string]*simJob
	commandEnds map[string]time.Time // time at which each command is done, by ID
	nextJob     int
	outSeconds  float64 // instance-seconds out of service
	result      Result
}

// SimulateWave simulates the maintenance of every instance of the fleet and returns the measurements.
func SimulateWave(s Size, p Policy, seed uint64) Result {
	r := newSimulation(s, p, seed)
	r.submitJobs()
	r.placeJobs()
	// Start each job at a random point of its first half, as in a fleet that has run for a long time.
	for id := range r.tables.Jobs.All {
		w := r.jobs[id]
		w.uncounted = true
		ran := time.Duration(r.random.Float64() * float64(w.remaining) / 2)
		w.startedAt = r.now.Add(-ran)
		w.remaining -= ran
	}
	r.runPlan()
	return r.result
}

func newSimulation(s Size, p Policy, seed uint64) *simulation {
	return &simulation{size: s, policy: p, tables: s.Tables(), now: time.Unix(1_000_000, 0), offset: 2, random: rand.New(rand.NewPCG(3, seed)),
		jobs: make(map[string]*simJob), commandEnds: make(map[string]time.Time), result: Result{Size: s.Name, Policy: p, MinMargin: math.MaxInt}}
}

func (r *simulation) apply(rec fleet.Record) bool {
	rec.ID = fmt.Sprint("r", r.offset)
	rec.Time = r.now
	refused := r.tables.Apply(r.offset, rec)
	r.offset++
	return refused == nil
}

// submitJobs submits jobs until each pool's unfinished jobs request its share of cores given by Utilisation.
func (r *simulation) submitJobs() {
	requested := make(map[string]int)
	for _, j := range r.tables.Jobs.All {
		if !j.State.Ended() {
			requested[j.Spec.Pool] += j.Spec.Cores
		}
	}
	for i := range r.size.Pools {
		pool := poolName(i)
		for requested[pool] < int(r.size.Utilisation*float64(r.size.PoolSize*r.size.Cores)) {
			cores := 1 + r.random.IntN(r.size.Cores/4)
			requested[pool] += cores
			r.submit(pool, cores)
		}
	}
}

func (r *simulation) submit(pool string, cores int) {
	trueTime := time.Duration((0.2 + r.random.ExpFloat64()) * float64(r.size.MeanRunTime))
	ratio := math.Pow(r.size.EstimateError, 2*r.random.Float64()-1)
	id := fmt.Sprintf("job-%06d", r.nextJob)
	r.nextJob++
	spec := fleet.JobSpec{ID: id, Pool: pool, Cores: cores, MemoryMB: 256, RunTime: fleet.Duration(float64(trueTime) * ratio), Repeatable: r.random.IntN(2) == 0}
	if r.apply(fleet.Record{By: "team", Submit: &fleet.Submit{Team: teamName(r.random.IntN(r.size.Teams)), Spec: spec}}) {
		r.jobs[id] = &simJob{remaining: trueTime, cores: r.trueCores(cores)}
		r.result.Jobs++
	}
}

func (r *simulation) placeJobs() {
	d := place.Decide(r.tables, place.Options{FirstFit: r.policy.Baseline, UntilDrain: r.untilDrain(), Margin: r.runTimeMargin()})
	for _, s := range d.Starts {
		if r.apply(fleet.Record{Start: &s}) {
			r.apply(fleet.Record{Settle: &fleet.Settle{Job: s.Job, Attempt: s.Attempt, Outcome: fleet.OutcomeRunning}})
			r.jobs[s.Job].startedAt = r.now
		}
	}
}

// runTimeMargin returns the factor applied to declared run times; 0 selects the factor that the tables have learned.
func (r *simulation) runTimeMargin() float64 {
	if r.policy.Declared {
		return 2
	}
	return 0
}

func (r *simulation) untilDrain() func(string) (time.Duration, bool) {
	if r.policy.Baseline {
		return nil
	}
	return plan.TimeToTakeOut(r.tables, r.costs())
}

func (r *simulation) costs() plan.Costs { return plan.Costs{Maintenance: r.size.Maintenance} }

func (r *simulation) runPlan() {
	p, err := plan.Make(r.tables, "wave", fleet.Intent{Kind: fleet.IntentMaintain}, r.costs())
	if err != nil {
		return
	}
	r.result.RollOutBound = p.Estimate.RollOutBound
	r.result.UnavoidableMoves = r.countOutlasting(p.Estimate.RollOutBound)
	if r.policy.Baseline {
		r.waveByRack(&p)
	}
	r.apply(fleet.Record{By: "operator", Propose: &fleet.Propose{Plan: p}})
	r.apply(fleet.Record{By: "operator", Control: &fleet.Control{Plan: "wave", Order: fleet.OrderConfirm}})
	start := r.now
	for r.tables.Plans.Get("wave").State == fleet.PlanRunning && r.now.Sub(start) < maxWaveTime {
		r.now = r.now.Add(tick)
		r.step(start)
	}
	r.result.RollOut = r.now.Sub(start)
	r.result.Completed = r.tables.Plans.Get("wave").State == fleet.PlanDone
	r.result.Buffer = r.outSeconds / r.result.RollOut.Seconds()
	r.result.BufferBound = float64(len(p.Steps)) * r.size.Maintenance.Seconds() / r.result.RollOut.Seconds()
	for _, j := range r.tables.Jobs.All {
		r.result.Moves += j.Moves
		r.result.RepeatMoves += max(0, j.Moves-1)
	}
}

// waveByRack assigns the steps of each rack to a wave of their own.
func (r *simulation) waveByRack(p *fleet.Plan) {
	waves := make(map[string]int)
	for i := range p.Steps {
		rack := r.tables.Instances.Get(p.Steps[i].Instance).Rack
		if _, ok := waves[rack]; !ok {
			waves[rack] = len(waves)
		}
		p.Steps[i].Wave = waves[rack]
	}
	p.Waves = len(waves)
}

// countOutlasting counts the running jobs that outlast the shortest possible wave, whenever their instance is maintained.
func (r *simulation) countOutlasting(shortest time.Duration) int {
	n := 0
	for id, w := range r.jobs {
		if j := r.tables.Jobs.Get(id); j.State == fleet.JobRunning && w.remaining > shortest {
			n++
		}
	}
	return n
}

func (r *simulation) step(start time.Time) {
	if r.policy.RackFails {
		r.failRack(start)
	}
	r.runJobs()
	r.endJobs()
	r.submitJobs()
	r.applyUsage()
	r.advancePlan()
	r.checkpointDraining()
	r.placeJobs()
	r.countOut()
}

// failRack takes one rack down after a quarter of the roll-out bound and brings it back after rackOutage.
func (r *simulation) failRack(start time.Time) {
	at := start.Add(r.result.RollOutBound / 4)
	var down bool
	switch {
	case r.now.After(at) && !r.now.After(at.Add(tick)):
		down = true
	case r.now.After(at.Add(rackOutage)) && !r.now.After(at.Add(rackOutage+tick)):
	default:
		return
	}
	var observed []fleet.Observation
	for id, in := range r.tables.Instances.All {
		if in.Rack == r.size.rack(0) {
			observed = append(observed, fleet.Observation{ID: id, Down: down})
		}
	}
	r.apply(fleet.Record{Observe: &fleet.Observe{Instances: observed}})
	if !down {
		return
	}
	for id, j := range r.tables.Jobs.All {
		w := r.jobs[id]
		if w != nil && j.State == fleet.JobRunning && r.tables.Instances.Get(j.Instance).Down {
			r.settle(j, fleet.OutcomeStopped)
			w.checkpointAt = time.Time{}
		}
	}
}

func (r *simulation) settle(j *fleet.Job, o fleet.Outcome) {
	ran := r.now.Sub(r.jobs[j.ID].startedAt)
	r.apply(fleet.Record{Settle: &fleet.Settle{Job: j.ID, Attempt: j.Attempt, Outcome: o, Ran: ran}})
}

func (r *simulation) endJobs() {
	for id, j := range r.tables.Jobs.All {
		w := r.jobs[id]
		switch {
		case w == nil:
		case j.State.Ended():
			delete(r.jobs, id)
		case j.State != fleet.JobRunning:
		case w.remaining <= 0:
			r.settle(j, fleet.OutcomeDone)
			delete(r.jobs, id)
		case !w.checkpointAt.IsZero() && !r.now.Before(w.checkpointAt):
			w.checkpointAt = time.Time{}
			r.settle(j, fleet.OutcomeCheckpointed)
		}
	}
}

// checkpointDraining starts a checkpoint of the jobs on draining instances, except of those that are about to end.
func (r *simulation) checkpointDraining() {
	maxWait := r.costs().JobWait(r.size.Weights)
	if r.policy.Baseline {
		maxWait = 0
	}
	for id, j := range r.tables.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning || !w.checkpointAt.IsZero() || r.tables.Instances.Get(j.Instance).State != fleet.InstanceDraining {
			continue
		}
		if plan.ShouldMove(j, r.now.Sub(w.startedAt), maxWait) {
			w.checkpointAt = r.now.Add(checkpointTime)
		}
	}
}

func (r *simulation) planFacts() plan.Facts {
	return plan.Facts{
		Acknowledged: func(*fleet.Instance) []string { return nil },
		Missing:      func(*fleet.Instance) string { return "" },
		Command: func(id string) plan.CommandFact {
			done, issued := r.commandEnds[id]
			switch {
			case !issued:
				return plan.CommandNotQueried
			case r.now.Before(done):
				return plan.CommandRunning
			}
			return plan.CommandDone
		},
	}
}

// advancePlan applies the plan's next decisions until no further one becomes possible in this tick.
func (r *simulation) advancePlan() {
	for changed := true; changed; {
		changed = false
		for _, d := range plan.Next(r.tables, r.tables.Plans.Get("wave"), r.planFacts()) {
			switch {
			case d.Advance != nil:
				if r.apply(fleet.Record{Advance: d.Advance}) {
					changed = true
					r.recordDrain(d.Advance)
				}
			case d.Command != nil:
				r.commandEnds[d.Command.ID] = r.now.Add(r.size.Maintenance)
			}
		}
	}
}

func (r *simulation) recordDrain(a *fleet.Advance) {
	if a.To != fleet.StepDraining {
		return
	}
	for id, w := range r.jobs {
		if j := r.tables.Jobs.Get(id); w.uncounted && j.Instance == a.Instance && j.State == fleet.JobRunning && w.remaining > 0 {
			r.result.MovesBound++
			w.uncounted = false
		}
	}
	for _, b := range r.tables.Configuration.Budgets() {
		r.result.MinMargin = min(r.result.MinMargin, r.tables.Spare(b).Total)
	}
}

func (r *simulation) countOut() {
	out := 0
	for _, in := range r.tables.Instances.All {
		if in.State != fleet.InstanceServing {
			out++
		}
	}
	r.result.PeakOut = max(r.result.PeakOut, out)
	r.outSeconds += float64(out) * tick.Seconds()
}
