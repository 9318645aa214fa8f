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

// Policy chooses between rackstep's decisions and the baseline.
type Policy struct {
	// Baseline maintains one rack at a time, moves every job at once and places on the first worker with room.
	Baseline bool
	// RackFails takes a whole rack down for a while in the middle of the wave.
	RackFails bool
	// Declared plans on the sizes that callers declare, as if the platform reported no usage.
	Declared bool
}

// Sum returns the sums of several results, so that ratios of them are means.
func Sum(s Size, p Policy, seeds int) Result {
	sum := Result{Size: s.Name, Policy: p, Ended: true}
	for seed := range seeds {
		r := Wave(s, p, uint64(seed))
		sum.RollOut += r.RollOut
		sum.RollOutBound += r.RollOutBound
		sum.Moves += r.Moves
		sum.MovesBound += r.MovesBound
		sum.Unavoidable += r.Unavoidable
		sum.Twice += r.Twice
		sum.Buffer += r.Buffer
		sum.BufferBound += r.BufferBound
		sum.Peak = max(sum.Peak, r.Peak)
		sum.Jobs += r.Jobs
		sum.Ended = sum.Ended && r.Ended
		sum.Ran += r.Ran
		sum.Lost += r.Lost
		sum.Overload += r.Overload
		sum.Measures += r.Measures
		sum.Throttles += r.Throttles
		sum.Yields += r.Yields
		sum.LowestMargin = min(sum.LowestMargin, r.LowestMargin)
	}
	return sum
}

// Result is what one maintenance wave cost, beside the bounds.
type Result struct {
	Size         string
	Policy       Policy
	RollOut      time.Duration
	RollOutBound time.Duration
	Moves        int
	// MovesBound counts the jobs of the beginning that could not end before their worker's turn.
	MovesBound int
	// Unavoidable counts those that outlast the shortest wave, whatever the order of the turns.
	Unavoidable int
	// Twice counts the moves of jobs that had been moved before.
	Twice int
	// Buffer is the mean number of instances out while the wave ran, BufferBound the least mean for its length.
	Buffer, BufferBound float64
	// Peak is the most instances out at once.
	Peak int
	// Jobs is the number of jobs that ran, Ended says that the wave came to its end.
	Jobs  int
	Ended bool
	// Ran are the seconds that jobs ran, Lost those of them that they did not get on because they were slowed, Overload
	// those lost because more was in use than the instance has.
	Ran, Lost, Overload float64
	// Measures, Throttles and Yields count what was decided because of usage.
	Measures, Throttles, Yields int
	// LowestMargin is the least that a take-out left to a budget.
	LowestMargin int
}

const (
	tick        = 5 * time.Second
	longestWave = 48 * time.Hour
	rackOutage  = 30 * time.Minute
	// checkpointTime is how long a displaced job takes to stop with its progress kept.
	checkpointTime = 10 * time.Second
)

// work is a job's true course, which the decisions do not know.
type work struct {
	left    time.Duration // of its true run time
	uses    float64       // the cores that it takes when nothing holds it back
	seen    place.Usage   // what the platform reports
	since   time.Time     // of the current attempt
	leaving time.Time     // when its checkpoint is complete; zero when it stays
	first   bool          // it has been on its first worker since before the wave
}

// run drives one wave.
type run struct {
	size   Size
	policy Policy
	t      *fleet.Tables
	now    time.Time
	offset int64
	random *rand.Rand
	jobs   map[string]*work
	cmds   map[string]time.Time // when each command is done
	next   int
	out    float64 // instance-seconds out of service
	res    Result
}

// Wave maintains every instance of the fleet once and returns what that cost.
func Wave(s Size, p Policy, seed uint64) Result {
	r := newRun(s, p, seed)
	r.fill()
	r.place()
	// Jobs in the middle of their course: the fleet has been running for long.
	for id := range r.t.Jobs.All {
		w := r.jobs[id]
		w.first = true
		ran := time.Duration(r.random.Float64() * float64(w.left) / 2)
		w.since = r.now.Add(-ran)
		w.left -= ran
	}
	r.maintain()
	return r.res
}

func newRun(s Size, p Policy, seed uint64) *run {
	return &run{size: s, policy: p, t: s.Tables(), now: time.Unix(1_000_000, 0), offset: 2, random: rand.New(rand.NewPCG(3, seed)),
		jobs: make(map[string]*work), cmds: make(map[string]time.Time), res: Result{Size: s.Name, Policy: p, LowestMargin: math.MaxInt}}
}

func (r *run) apply(rec fleet.Record) bool {
	rec.ID = fmt.Sprint("r", r.offset)
	rec.Time = r.now
	refused := r.t.Apply(r.offset, rec)
	r.offset++
	return refused == nil
}

// fill submits jobs until they ask for the fill of the cores.
func (r *run) fill() {
	asked := make(map[string]int)
	for _, j := range r.t.Jobs.All {
		if !j.State.Ended() {
			asked[j.Spec.Pool] += j.Spec.Cores
		}
	}
	for i := range r.size.Pools {
		pool := poolName(i)
		for asked[pool] < int(r.size.Fill*float64(r.size.Each*r.size.Cores)) {
			cores := 1 + r.random.IntN(r.size.Cores/4)
			asked[pool] += cores
			r.submit(pool, cores)
		}
	}
}

func (r *run) submit(pool string, cores int) {
	course := time.Duration((0.2 + r.random.ExpFloat64()) * float64(r.size.MeanRun))
	wrong := math.Pow(r.size.Wrong, 2*r.random.Float64()-1)
	id := fmt.Sprintf("job-%06d", r.next)
	r.next++
	spec := fleet.JobSpec{ID: id, Pool: pool, Cores: cores, MemoryMB: 256, RunTime: fleet.Duration(float64(course) * wrong), Repeatable: r.random.IntN(2) == 0}
	if r.apply(fleet.Record{By: "team", Submit: &fleet.Submit{Team: teamName(r.random.IntN(r.size.Teams)), Spec: spec}}) {
		r.jobs[id] = &work{left: course, uses: r.trueCores(cores)}
		r.res.Jobs++
	}
}

func (r *run) place() {
	d := place.Decide(r.t, place.Options{FirstFit: r.policy.Baseline, UntilDrain: r.until(), Margin: r.margin()})
	for _, s := range d.Starts {
		if r.apply(fleet.Record{Start: &s}) {
			r.apply(fleet.Record{Settle: &fleet.Settle{Job: s.Job, Attempt: s.Attempt, Outcome: fleet.OutcomeRunning}})
			r.jobs[s.Job].since = r.now
		}
	}
}

// margin is what declared run times are multiplied by; 0 is what the tables have learned.
func (r *run) margin() float64 {
	if r.policy.Declared {
		return 2
	}
	return 0
}

func (r *run) until() func(string) (time.Duration, bool) {
	if r.policy.Baseline {
		return nil
	}
	return plan.TimeToTakeOut(r.t, r.costs())
}

func (r *run) costs() plan.Costs { return plan.Costs{Maintenance: r.size.Maintenance} }

func (r *run) maintain() {
	p, err := plan.Make(r.t, "wave", fleet.Intent{Kind: fleet.IntentMaintain}, r.costs())
	if err != nil {
		return
	}
	r.res.RollOutBound = p.Estimate.RollOutBound
	r.res.Unavoidable = r.outlast(p.Estimate.RollOutBound)
	if r.policy.Baseline {
		r.rackByRack(&p)
	}
	r.apply(fleet.Record{By: "operator", Propose: &fleet.Propose{Plan: p}})
	r.apply(fleet.Record{By: "operator", Control: &fleet.Control{Plan: "wave", Order: fleet.OrderConfirm}})
	begin := r.now
	for r.t.Plans.Get("wave").State == fleet.PlanRunning && r.now.Sub(begin) < longestWave {
		r.now = r.now.Add(tick)
		r.step(begin)
	}
	r.res.RollOut = r.now.Sub(begin)
	r.res.Ended = r.t.Plans.Get("wave").State == fleet.PlanDone
	r.res.Buffer = r.out / r.res.RollOut.Seconds()
	r.res.BufferBound = float64(len(p.Steps)) * r.size.Maintenance.Seconds() / r.res.RollOut.Seconds()
	for _, j := range r.t.Jobs.All {
		r.res.Moves += j.Moves
		r.res.Twice += max(0, j.Moves-1)
	}
}

// rackByRack gives each rack a wave of its own.
func (r *run) rackByRack(p *fleet.Plan) {
	waves := make(map[string]int)
	for i := range p.Steps {
		rack := r.t.Instances.Get(p.Steps[i].Instance).Rack
		if _, ok := waves[rack]; !ok {
			waves[rack] = len(waves)
		}
		p.Steps[i].Wave = waves[rack]
	}
	p.Waves = len(waves)
}

// outlast counts the jobs that outlast even the shortest wave, whatever their worker's turn is.
func (r *run) outlast(shortest time.Duration) int {
	n := 0
	for id, w := range r.jobs {
		if j := r.t.Jobs.Get(id); j.State == fleet.JobRunning && w.left > shortest {
			n++
		}
	}
	return n
}

func (r *run) step(begin time.Time) {
	if r.policy.RackFails {
		r.failRack(begin)
	}
	r.work()
	r.endJobs()
	r.fill()
	r.measure()
	r.advance()
	r.displace()
	r.place()
	r.count()
}

// failRack takes one rack down a quarter into the bound, and brings it back.
func (r *run) failRack(begin time.Time) {
	at := begin.Add(r.res.RollOutBound / 4)
	var down bool
	switch {
	case r.now.After(at) && !r.now.After(at.Add(tick)):
		down = true
	case r.now.After(at.Add(rackOutage)) && !r.now.After(at.Add(rackOutage+tick)):
	default:
		return
	}
	var seen []fleet.Observation
	for id, in := range r.t.Instances.All {
		if in.Rack == r.size.rack(0) {
			seen = append(seen, fleet.Observation{ID: id, Down: down})
		}
	}
	r.apply(fleet.Record{Observe: &fleet.Observe{Instances: seen}})
	if !down {
		return
	}
	for id, j := range r.t.Jobs.All {
		w := r.jobs[id]
		if w != nil && j.State == fleet.JobRunning && r.t.Instances.Get(j.Instance).Down {
			r.settle(j, fleet.OutcomeStopped)
			w.leaving = time.Time{}
		}
	}
}

func (r *run) settle(j *fleet.Job, o fleet.Outcome) {
	ran := r.now.Sub(r.jobs[j.ID].since)
	r.apply(fleet.Record{Settle: &fleet.Settle{Job: j.ID, Attempt: j.Attempt, Outcome: o, Ran: ran}})
}

func (r *run) endJobs() {
	for id, j := range r.t.Jobs.All {
		w := r.jobs[id]
		switch {
		case w == nil:
		case j.State.Ended():
			delete(r.jobs, id)
		case j.State != fleet.JobRunning:
		case w.left <= 0:
			r.settle(j, fleet.OutcomeDone)
			delete(r.jobs, id)
		case !w.leaving.IsZero() && !r.now.Before(w.leaving):
			w.leaving = time.Time{}
			r.settle(j, fleet.OutcomeCheckpointed)
		}
	}
}

// displace has the jobs on draining instances leave, unless they are about to end.
func (r *run) displace() {
	patience := r.costs().JobWait(r.size.Weights)
	if r.policy.Baseline {
		patience = 0
	}
	for id, j := range r.t.Jobs.All {
		w := r.jobs[id]
		if w == nil || j.State != fleet.JobRunning || !w.leaving.IsZero() || r.t.Instances.Get(j.Instance).State != fleet.InstanceDraining {
			continue
		}
		if plan.ShouldMove(j, r.now.Sub(w.since), patience) {
			w.leaving = r.now.Add(checkpointTime)
		}
	}
}

func (r *run) facts() plan.Facts {
	return plan.Facts{
		Acknowledged: func(*fleet.Instance) []string { return nil },
		Missing:      func(*fleet.Instance) string { return "" },
		Command: func(id string) plan.CommandFact {
			done, asked := r.cmds[id]
			switch {
			case !asked:
				return plan.CommandNotQueried
			case r.now.Before(done):
				return plan.CommandRunning
			}
			return plan.CommandDone
		},
	}
}

// advance carries out what may be done now, until nothing more follows.
func (r *run) advance() {
	for again := true; again; {
		again = false
		for _, d := range plan.Next(r.t, r.t.Plans.Get("wave"), r.facts()) {
			switch {
			case d.Advance != nil:
				if r.apply(fleet.Record{Advance: d.Advance}) {
					again = true
					r.look(d.Advance)
				}
			case d.Command != nil:
				r.cmds[d.Command.ID] = r.now.Add(r.size.Maintenance)
			}
		}
	}
}

func (r *run) look(a *fleet.Advance) {
	if a.To != fleet.StepDraining {
		return
	}
	for id, w := range r.jobs {
		if j := r.t.Jobs.Get(id); w.first && j.Instance == a.Instance && j.State == fleet.JobRunning && w.left > 0 {
			r.res.MovesBound++
			w.first = false
		}
	}
	for _, b := range r.t.Configuration.Budgets() {
		r.res.LowestMargin = min(r.res.LowestMargin, r.t.Spare(b).Total)
	}
}

func (r *run) count() {
	out := 0
	for _, in := range r.t.Instances.All {
		if in.State != fleet.InstanceServing {
			out++
		}
	}
	r.res.Peak = max(r.res.Peak, out)
	r.out += float64(out) * tick.Seconds()
}
