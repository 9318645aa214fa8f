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

// Options bound a decision.
type Options struct {
	// MaxStarts is the number of starts that one decision returns; all when 0.
	MaxStarts int
	// UntilDrain returns how long the instance stays in service before a plan takes it out, and false when no plan will.
	UntilDrain func(instance string) (time.Duration, bool)
	// Margin multiplies declared run times, which are far off; what the tables have learned of each pool when 0.
	Margin float64
	// FirstFit takes the first instance with room, as a baseline to measure against.
	FirstFit bool
}

// Decisions are what Decide returns.
type Decisions struct {
	Starts []fleet.Start
	// Parks are jobs that no instance of their pool can ever run.
	Parks []fleet.Park
	// Yields are running jobs that are to make room for urgent ones.
	Yields []fleet.Yield
}

// Decide returns what is to be done for the pending jobs.
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
		r := d.room(j)
		if r != nil {
			d.charge(j, r)
			out.Starts = append(out.Starts, fleet.Start{Job: j.ID, Attempt: j.Attempt + 1, Instance: r.in.ID, Generation: r.in.Generation})
			continue
		}
		if note := d.never(j); note != "" {
			out.Parks = append(out.Parks, fleet.Park{Job: j.ID, Attempt: j.Attempt, Note: note})
			continue
		}
		if j.Spec.Urgent {
			out.Yields = append(out.Yields, d.makeRoom(j)...)
		}
	}
}

type decision struct {
	t       *fleet.Tables
	o       Options
	teams   map[string]*teamJobs
	pending map[string]*teamJobs // those of teams that still have jobs
	pools   map[string][]*room
	runs    map[string][]*fleet.Job // ordinary running jobs by instance; made when they are needed
}

// teamJobs are one team's pending jobs and what it holds.
type teamJobs struct {
	team  *fleet.Team
	held  int
	jobs  []*fleet.Job
	share float64
}

// room is an instance and what is free on it.
type room struct {
	in            *fleet.Instance
	cores, memory int
	soon          bool // a plan will take it out
	until         time.Duration
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
		slices.SortStableFunc(team.jobs, firstStarted)
	}
	return d
}

// firstStarted orders a team's jobs: urgent ones first, then those that changed longest ago.
func firstStarted(a, b *fleet.Job) int {
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
	d.pools = make(map[string][]*room)
	for id, in := range d.t.Instances.All {
		if !in.Available() || in.Quarantined {
			continue
		}
		cores, memory := d.t.Held(id)
		r := &room{in: in, cores: in.Cores - cores, memory: in.MemoryMB - memory}
		if d.o.UntilDrain != nil {
			r.until, r.soon = d.o.UntilDrain(id)
		}
		d.pools[in.Pool] = append(d.pools[in.Pool], r)
	}
}

// nextJob takes the job that goes next out of the pending ones, or returns nil.
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

// room returns the best instance for the job, or nil.
func (d *decision) room(j *fleet.Job) *room {
	if d.overQuota(j) {
		return nil
	}
	var best *room
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

func (d *decision) fits(j *fleet.Job, r *room) bool {
	needs := j.Charged()
	return r.cores >= needs.Cores && r.memory >= needs.MemoryMB && j.MayRunIn(r.in.DataCentre) &&
		!slices.Contains(j.FailedOn, r.in.ID)
}

// better says whether the job should rather go to a than to b.
func (d *decision) better(j *fleet.Job, a, b *room) bool {
	x, y := d.displaced(j, a), d.displaced(j, b)
	if x != y {
		return y
	}
	if x && a.until != b.until {
		return a.until > b.until // the later the turn, the likelier the job ends before it
	}
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.in.ID < b.in.ID
}

// displaced says whether a plan will take the instance out before the job is expected to end.
func (d *decision) displaced(j *fleet.Job, r *room) bool {
	margin := d.o.Margin
	if margin == 0 {
		margin = d.t.RunTimeMargin(j.Spec.Pool)
	}
	return r.soon && time.Duration(float64(j.Spec.RunTime)*margin) > r.until
}

// never says why the job can't run on any instance of its pool, however empty, or returns an empty string.
//
// A pool without instances says nothing: they may still come.
func (d *decision) never(j *fleet.Job) string {
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

func (d *decision) charge(j *fleet.Job, r *room) {
	needs := j.Charged()
	r.cores -= needs.Cores
	r.memory -= needs.MemoryMB
	d.teams[j.Team].held += needs.Cores
}
