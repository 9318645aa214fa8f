// SPDX-License-Identifier: MIT

package place

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"rackstep.dev/fleet"
)

// Options are the parameters of Decide.
type Options struct {
	// MaxStarts limits the number of starts that one decision returns; 0 means no limit.
	MaxStarts int
	// UntilDrain returns how long the instance remains in service before a plan takes it out, and false if no plan
	// does.
	UntilDrain func(instance string) (time.Duration, bool)
	// Margin is the factor by which declared run times are multiplied, since they are inaccurate. If it is 0, the
	// factor that the tables have learned for the pool is used.
	Margin float64
	// FirstFit selects the first instance with enough free capacity. It is a baseline for measurements.
	FirstFit bool
}

// Decisions is the result of Decide.
type Decisions struct {
	Starts []fleet.Start
	// Parks are jobs that can't run on any instance of their pool.
	Parks []fleet.Park
	// Yields are running jobs that must be preempted for urgent ones.
	Yields []fleet.Yield
}

// Decide returns the actions to take for the pending jobs.
func Decide(t *fleet.Tables, o Options) Decisions {
	d := newDecision(t, o)
	if len(d.pending) == 0 {
		return Decisions{}
	}
	d.index()
	var out Decisions
	for {
		j := d.nextJob()
		if j == nil || (o.MaxStarts > 0 && len(out.Starts) == o.MaxStarts) {
			return out
		}
		r := d.chooseInstance(j)
		if r != nil {
			d.reserve(j, r)
			out.Starts = append(out.Starts, fleet.Start{Job: j.ID, Attempt: j.Attempt + 1, Instance: r.in.ID, Generation: r.in.Generation})
			continue
		}
		if note := d.unplaceable(j); note != "" {
			out.Parks = append(out.Parks, fleet.Park{Job: j.ID, Attempt: j.Attempt, Note: note})
			continue
		}
		if j.Spec.Urgent {
			out.Yields = append(out.Yields, d.preempt(j)...)
		}
	}
}

type decision struct {
	t       *fleet.Tables
	o       Options
	teams   map[string]*teamJobs
	pending map[string]*teamJobs // teams that still have pending jobs
	pools   map[string][]*freeCapacity
	running map[string][]*fleet.Job // the running jobs that are not urgent, by instance; built on first use
}

// teamJobs holds the pending jobs of a team and the cores that it uses.
type teamJobs struct {
	team  *fleet.Team
	held  int
	jobs  []*fleet.Job
	share float64
}

// freeCapacity is an instance and its free resources.
type freeCapacity struct {
	in            *fleet.Instance
	cores, memory int
	willDrain     bool // a plan will take it out of service, after drainIn
	drainIn       time.Duration
}

func newDecision(t *fleet.Tables, o Options) *decision {
	d := &decision{t: t, o: o, teams: make(map[string]*teamJobs)}
	for _, j := range t.Jobs.All {
		if j.State != fleet.JobPending {
			continue
		}
		team := d.teams[j.Team]
		if team == nil {
			team = &teamJobs{team: t.Configuration.Team(j.Team)}
			d.teams[j.Team] = team
		}
		team.jobs = append(team.jobs, j)
	}
	d.pending = maps.Clone(d.teams)
	for name, team := range d.teams {
		team.held = t.TeamCores(name)
		team.share = 1
		if team.team != nil {
			team.share = float64(max(1, team.team.JobCores, team.team.Share))
		}
		slices.SortStableFunc(team.jobs, compareJobs)
	}
	return d
}

// compareJobs orders the jobs of a team: urgent ones first, then those that have not changed for the longest time.
func compareJobs(a, b *fleet.Job) int {
	return cmp.Or(-compareBool(a.Spec.Urgent, b.Spec.Urgent), cmp.Compare(a.Changed, b.Changed), cmp.Compare(a.ID, b.ID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (d *decision) index() {
	d.pools = make(map[string][]*freeCapacity)
	for id, in := range d.t.Instances.All {
		if !in.Available() || in.Quarantined {
			continue
		}
		cores, memory := d.t.Held(id)
		r := &freeCapacity{in: in, cores: in.Cores - cores, memory: in.MemoryMB - memory}
		if d.o.UntilDrain != nil {
			r.drainIn, r.willDrain = d.o.UntilDrain(id)
		}
		d.pools[in.Pool] = append(d.pools[in.Pool], r)
	}
}

// nextJob removes and returns the pending job that is next in order, or nil if there is none.
func (d *decision) nextJob() *fleet.Job {
	var best *teamJobs
	var name string
	for n, team := range d.pending {
		if best == nil || team.before(best) || (!best.before(team) && n < name) {
			best, name = team, n
		}
	}
	if best == nil {
		return nil
	}
	j := best.jobs[0]
	best.jobs = best.jobs[1:]
	if len(best.jobs) == 0 {
		delete(d.pending, name)
	}
	return j
}

func (a *teamJobs) before(b *teamJobs) bool {
	if a.jobs[0].Spec.Urgent != b.jobs[0].Spec.Urgent {
		return a.jobs[0].Spec.Urgent
	}
	return float64(a.held)/a.share < float64(b.held)/b.share
}

// chooseInstance returns the best instance for the job, or nil if none has enough free capacity.
func (d *decision) chooseInstance(j *fleet.Job) *freeCapacity {
	if d.overQuota(j) {
		return nil
	}
	var best *freeCapacity
	for _, r := range d.pools[j.Spec.Pool] {
		if !d.fits(j, r) {
			continue
		}
		if d.o.FirstFit {
			return r
		}
		if best == nil || d.better(j, r, best) {
			best = r
		}
	}
	return best
}

func (d *decision) overQuota(j *fleet.Job) bool {
	t := d.teams[j.Team]
	return !d.t.MayHold(t.team, t.held-d.t.TeamCores(j.Team)+j.Charged().Cores)
}

func (d *decision) fits(j *fleet.Job, r *freeCapacity) bool {
	needs := j.Charged()
	return r.cores >= needs.Cores && r.memory >= needs.MemoryMB && j.MayRunIn(r.in.DataCentre) &&
		!slices.Contains(j.FailedOn, r.in.ID)
}

// better reports whether a is a better choice for the job than b.
func (d *decision) better(j *fleet.Job, a, b *freeCapacity) bool {
	x, y := d.endsTooLate(j, a), d.endsTooLate(j, b)
	if x != y {
		return y
	}
	if x && a.drainIn != b.drainIn {
		return a.drainIn > b.drainIn // the longer it remains in service, the likelier the job ends before
	}
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.in.ID < b.in.ID
}

// endsTooLate reports whether a plan will take the instance out before the job is expected to end.
func (d *decision) endsTooLate(j *fleet.Job, r *freeCapacity) bool {
	margin := d.o.Margin
	if margin == 0 {
		margin = d.t.RunTimeMargin(j.Spec.Pool)
	}
	return r.willDrain && time.Duration(float64(j.Spec.RunTime)*margin) > r.drainIn
}

// unplaceable returns the reason why the job can't run on any instance of its pool even if all were empty, or an
// empty string if it can.
//
// For a pool without instances it returns an empty string, since instances may still be added.
func (d *decision) unplaceable(j *fleet.Job) string {
	team := d.teams[j.Team].team
	needs := j.Charged()
	if team != nil && team.JobCores > 0 && needs.Cores > team.JobCores {
		return fmt.Sprintf("it needs %d cores and the quota of team %s is %d", needs.Cores, team.Name, team.JobCores)
	}
	seen := false
	for _, in := range d.t.Instances.All {
		if in.Pool != j.Spec.Pool {
			continue
		}
		if in.Cores >= needs.Cores && in.MemoryMB >= needs.MemoryMB && j.MayRunIn(in.DataCentre) && !slices.Contains(j.FailedOn, in.ID) {
			return ""
		}
		seen = true
	}
	if !seen {
		return ""
	}
	return fmt.Sprintf("no instance of pool %s where it may run has %d cores and %d MB and has not failed it", j.Spec.Pool, needs.Cores, needs.MemoryMB)
}

func (d *decision) reserve(j *fleet.Job, r *freeCapacity) {
	needs := j.Charged()
	r.cores -= needs.Cores
	r.memory -= needs.MemoryMB
	d.teams[j.Team].held += needs.Cores
}
