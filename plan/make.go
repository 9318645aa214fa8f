// SPDX-License-Identifier: MIT

package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rackstep.dev/fleet"
)

// Costs are the expected times by which plans are compared.
type Costs struct {
	// Maintenance is the time from a take-out to the return of an instance without jobs; 2m when 0.
	Maintenance time.Duration
	// Patience is how long a job about to end is waited for; derived from the weights when 0.
	Patience time.Duration
}

const defaultMaintenance = 2 * time.Minute

// MaintenanceTime returns Maintenance or its default.
func (c Costs) MaintenanceTime() time.Duration {
	if c.Maintenance > 0 {
		return c.Maintenance
	}
	return defaultMaintenance
}

// JobWait returns Patience, or what the weights make of it: the more a move weighs beside roll-out time, the longer.
func (c Costs) JobWait(w fleet.Weights) time.Duration {
	switch {
	case c.Patience > 0:
		return c.Patience
	case w.Moves == 0:
		return 0
	case w.RollOut == 0:
		return longestWait * c.MaintenanceTime()
	}
	return min(longestWait*c.MaintenanceTime(), time.Duration(w.Moves/w.RollOut*float64(c.MaintenanceTime())))
}

// longestWait bounds the wait for a job, in times of one maintenance.
const longestWait = 4

// Make returns the plan for the intent; it fails when the intent can't be understood.
func Make(t *fleet.Tables, id string, intent fleet.Intent, costs Costs) (fleet.Plan, error) {
	chosen, left, err := choose(t, intent)
	if err != nil {
		return fleet.Plan{}, err
	}
	p := fleet.Plan{ID: id, Intent: intent, Base: t.Version, State: fleet.PlanProposed, Left: left}
	w := newWaves(t, chosen)
	p.Steps, p.Waves = w.build()
	p.Left = append(p.Left, w.left...)
	p.Estimate = estimate(t, p, w, costs)
	return p, nil
}

// candidate is an instance that the intent names and that may be planned.
type candidate struct {
	in     *fleet.Instance
	action fleet.Action
	to     string
	// held are the cores that jobs hold on it.
	held int
}

func choose(t *fleet.Tables, intent fleet.Intent) ([]candidate, []fleet.Left, error) {
	match, err := matcher(t, intent)
	if err != nil {
		return nil, nil, err
	}
	var chosen []candidate
	var left []fleet.Left
	open := openSteps(t)
	for id, in := range t.Instances.All {
		if !match(in) {
			continue
		}
		if reason := unplannable(in, open[id]); reason != "" {
			left = append(left, fleet.Left{Instance: id, Reason: reason})
			continue
		}
		cores, _ := t.Held(id)
		chosen = append(chosen, candidate{in: in, action: actionOf(intent), to: target(intent, in), held: cores})
	}
	left = append(left, missing(t, intent)...)
	return chosen, left, nil
}

func matcher(t *fleet.Tables, i fleet.Intent) (func(*fleet.Instance) bool, error) {
	if i.Hold && i.Kind != fleet.IntentEmptyRack && i.Kind != fleet.IntentEmptyDataCentre {
		return nil, fmt.Errorf("intent %s can't hold instances out; use empty-rack or empty-data-centre", i.Kind)
	}
	switch i.Kind {
	case fleet.IntentEmptyRack:
		if i.Rack == "" {
			return nil, fmt.Errorf("intent %s names no rack; set rack", i.Kind)
		}
		return func(in *fleet.Instance) bool {
			return in.Rack == i.Rack && (i.DataCentre == "" || in.DataCentre == i.DataCentre) && in.Pool != ""
		}, nil
	case fleet.IntentEmptyDataCentre:
		if t.Configuration.DataCentre(i.DataCentre) == nil {
			return nil, fmt.Errorf("data centre %q is not in the configuration; set data_centre", i.DataCentre)
		}
		return func(in *fleet.Instance) bool { return in.DataCentre == i.DataCentre && in.Pool != "" }, nil
	case fleet.IntentMaintain:
		if i.Pool != "" && t.Configuration.Pool(i.Pool) == nil {
			return nil, fmt.Errorf("pool %q is not in the configuration; set pool or leave it out for all", i.Pool)
		}
		return func(in *fleet.Instance) bool {
			due := i.NotSince.IsZero() || in.Maintained.Before(i.NotSince)
			return in.Pool != "" && (i.Pool == "" || in.Pool == i.Pool) && due
		}, nil
	case fleet.IntentMove:
		if t.Configuration.Pool(i.Pool) == nil {
			return nil, fmt.Errorf("pool %q is not in the configuration; set pool to where the instances go", i.Pool)
		}
		return listed(i)
	case fleet.IntentReplace:
		return listed(i)
	}
	return nil, fmt.Errorf("intent %q is not known; use empty-rack, empty-data-centre, maintain, move or replace", i.Kind)
}

func listed(i fleet.Intent) (func(*fleet.Instance) bool, error) {
	if len(i.Instances) == 0 {
		return nil, fmt.Errorf("intent %s names no instance; set instances", i.Kind)
	}
	return func(in *fleet.Instance) bool { return slices.Contains(i.Instances, in.ID) }, nil
}

// missing lists the instances that the intent names and nobody knows.
func missing(t *fleet.Tables, i fleet.Intent) []fleet.Left {
	var left []fleet.Left
	for _, id := range i.Instances {
		if t.Instances.Get(id) == nil {
			left = append(left, fleet.Left{Instance: id, Reason: "the instance is not known; look at 'rackstep instances'"})
		}
	}
	return left
}

// openSteps returns the active plan of each instance that has a step left.
func openSteps(t *fleet.Tables) map[string]string {
	open := make(map[string]string)
	for id, p := range t.Plans.All {
		if !p.Active() {
			continue
		}
		for i := range p.Steps {
			if !p.Steps[i].State.Ended() {
				open[p.Steps[i].Instance] = id
			}
		}
	}
	return open
}

func unplannable(in *fleet.Instance, plan string) string {
	switch {
	case plan != "":
		return "plan " + plan + " is at work on it; wait for it or cancel it"
	case in.State == fleet.InstanceIdle:
		return "it is in no pool; name it as a member of a pool"
	case in.State != fleet.InstanceServing:
		return fmt.Sprintf("it is %s", in.State)
	case in.Down:
		return "the platform does not list it as live; replace it or wait"
	}
	return ""
}

func actionOf(i fleet.Intent) fleet.Action {
	switch i.Kind {
	case fleet.IntentMove:
		return fleet.ActionMove
	case fleet.IntentReplace:
		return fleet.ActionStop
	}
	if i.Hold {
		return fleet.ActionHold
	}
	return fleet.ActionReboot
}

func target(i fleet.Intent, in *fleet.Instance) string {
	if i.Kind == fleet.IntentMove {
		return i.Pool
	}
	return in.Pool
}

// waves groups candidates so that each service's budget holds.
type waves struct {
	t       *fleet.Tables
	waiting []candidate
	margins []margin
	left    []fleet.Left
	// largest is the most instances that one wave takes out.
	largest int
}

// margin is a budget and what it can still spare.
type margin struct {
	fleet.Budget
	fleet.Spare
	// returning says that it binds only instances that return after their action.
	returning bool
}

// binds says whether the candidate needs the margin's leave to go out.
func (m *margin) binds(c candidate) bool {
	return m.Covers(c.in.Pool, c.in.DataCentre) && (!m.returning || c.action == fleet.ActionReboot)
}

func newWaves(t *fleet.Tables, chosen []candidate) *waves {
	slices.SortStableFunc(chosen, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.held, b.held), cmp.Compare(a.in.Rack, b.in.Rack), cmp.Compare(a.in.ID, b.in.ID))
	})
	return &waves{t: t, waiting: chosen, margins: margins(t)}
}

// margins returns every budget, for pools that run jobs the room that those need, and one instance in each data centre.
func margins(t *fleet.Tables) []margin {
	var all []margin
	for _, b := range append(t.Configuration.Budgets(), roomForJobs(t)...) {
		all = append(all, margin{Budget: b, Spare: t.Spare(b)})
	}
	for _, b := range oneInEach(t) {
		all = append(all, margin{Budget: b, Spare: t.Spare(b), returning: true})
	}
	return all
}

// oneInEach returns budgets that keep one instance of each service's pool in every data centre that has two or more, so
// that a data centre that is cut off meanwhile can serve on.
//
// It is a matter of planning: the fold does not know it, and it only puts instances that return one after the other.
func oneInEach(t *fleet.Tables) []fleet.Budget {
	type place struct{ pool, centre string }
	count := make(map[place]int)
	for _, in := range t.Instances.All {
		if !in.Down || in.Plan != "" { // one that a plan has out will be back
			count[place{in.Pool, in.DataCentre}]++
		}
	}
	var budgets []fleet.Budget
	for i := range t.Configuration.Services {
		s := &t.Configuration.Services[i]
		b := fleet.Budget{Name: s.Name + " within each data centre", Pool: s.Pool, MinPerDataCentre: 1}
		for _, dc := range s.DataCentres {
			if count[place{s.Pool, dc}] > 1 {
				b.DataCentres = append(b.DataCentres, dc)
			}
		}
		if len(b.DataCentres) > 0 {
			budgets = append(budgets, b)
		}
	}
	return budgets
}

// jobRoom is the part of a pool's cores that jobs are planned to fill at most.
const jobRoom = 0.9

// roomForJobs returns, for each pool with jobs, the instances that are needed to carry what is held and pending.
//
// It is a matter of planning: the fold does not know it.
func roomForJobs(t *fleet.Tables) []fleet.Budget {
	needed := make(map[string]int)
	for _, j := range t.Jobs.All {
		if !j.State.Ended() {
			needed[j.Spec.Pool] += j.Charged().Cores
		}
	}
	if len(needed) == 0 {
		return nil
	}
	cores, count := make(map[string]int), make(map[string]int)
	for _, in := range t.Instances.All {
		if in.Pool != "" && in.Available() {
			cores[in.Pool] += in.Cores
			count[in.Pool]++
		}
	}
	var budgets []fleet.Budget
	for _, p := range t.Configuration.Pools {
		if needed[p.Name] == 0 || cores[p.Name] == 0 {
			continue
		}
		each := float64(cores[p.Name]) / float64(count[p.Name]) * jobRoom
		least := int(math.Ceil(float64(needed[p.Name]) / each))
		budgets = append(budgets, fleet.Budget{Name: "jobs of pool " + p.Name, Pool: p.Name, Min: min(least, count[p.Name]-1)})
	}
	return budgets
}

func (w *waves) build() (steps []fleet.Step, count int) {
	for len(w.waiting) > 0 {
		taken := w.next()
		if len(taken) == 0 {
			w.giveUp()
			break
		}
		for _, c := range taken {
			steps = append(steps, fleet.Step{Instance: c.in.ID, Wave: count, Action: c.action, From: c.in.Pool, To: c.to, State: fleet.StepWaiting})
		}
		w.back(taken)
		w.largest = max(w.largest, len(taken))
		count++
	}
	return steps, count
}

// next takes as many waiting candidates as the budgets allow at once.
func (w *waves) next() []candidate {
	var taken, rest []candidate
	for _, c := range w.waiting {
		if c.in.Available() && w.blocking(c) != "" {
			rest = append(rest, c)
			continue
		}
		if c.in.Available() {
			w.change(c.in.Pool, c.in.DataCentre, -1)
		}
		taken = append(taken, c)
	}
	w.waiting = rest
	return taken
}

// blocking returns the name of a budget that needs the candidate in service, or an empty string.
func (w *waves) blocking(c candidate) string {
	for i := range w.margins {
		m := &w.margins[i]
		if m.binds(c) && m.In(c.in.DataCentre) < 1 {
			return m.Name
		}
	}
	return ""
}

func (w *waves) change(pool, dataCentre string, n int) {
	for i := range w.margins {
		if w.margins[i].Covers(pool, dataCentre) {
			w.margins[i].Add(dataCentre, n)
		}
	}
}

// back counts the instances that serve again after the wave.
func (w *waves) back(taken []candidate) {
	for _, c := range taken {
		if c.action != fleet.ActionStop && c.action != fleet.ActionHold {
			w.change(c.to, c.in.DataCentre, 1)
		}
	}
}

// giveUp leaves the rest out of the plan, with the budget that keeps each in place.
func (w *waves) giveUp() {
	for _, c := range w.waiting {
		w.left = append(w.left, fleet.Left{Instance: c.in.ID,
			Reason: fmt.Sprintf("the budget of %s has no instance to spare in %s; add capacity or lower it", w.blocking(c), c.in.DataCentre)})
	}
	w.waiting = nil
}
