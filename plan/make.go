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

// Costs are the expected durations by which plans are compared.
type Costs struct {
	// Maintenance is the time from the take-out of an instance without jobs to its return; 2m when 0.
	Maintenance time.Duration
	// Patience is how long to wait for a job that is about to end; derived from the weights when 0.
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

// JobWait returns Patience, or else a wait derived from the weights: the higher the weight of moves relative to that of roll-out
// time, the longer the wait.
func (c Costs) JobWait(w fleet.Weights) time.Duration {
	switch {
	case c.Patience > 0:
		return c.Patience
	case w.Moves == 0:
		return 0
	case w.RollOut == 0:
		return maxWaitFactor * c.MaintenanceTime()
	}
	return min(maxWaitFactor*c.MaintenanceTime(), time.Duration(w.Moves/w.RollOut*float64(c.MaintenanceTime())))
}

// maxWaitFactor bounds the wait for a job, as a multiple of the time for one maintenance.
const maxWaitFactor = 4

// Make returns a plan for the intent. It fails when the intent is invalid.
func Make(t *fleet.Tables, id string, intent fleet.Intent, costs Costs) (fleet.Plan, error) {
	chosen, excluded, err := selectCandidates(t, intent)
	if err != nil {
		return fleet.Plan{}, err
	}
	p := fleet.Plan{ID: id, Intent: intent, Base: t.Version, State: fleet.PlanProposed, Left: excluded}
	w := newWaves(t, chosen)
	p.Steps, p.Waves = w.build()
	p.Left = append(p.Left, w.excluded...)
	p.Estimate = estimate(t, p, w, costs)
	return p, nil
}

// candidate is an instance that the intent selects and that can be planned.
type candidate struct {
	in     *fleet.Instance
	action fleet.Action
	to     string
	// heldCores is the number of cores that jobs hold on the instance.
	heldCores int
}

// selectCandidates returns the instances that the intent selects, and those that can't be planned, with the reason.
func selectCandidates(t *fleet.Tables, intent fleet.Intent) ([]candidate, []fleet.Left, error) {
	match, err := matcher(t, intent)
	if err != nil {
		return nil, nil, err
	}
	var chosen []candidate
	var excluded []fleet.Left
	planOf := activePlans(t)
	for id, in := range t.Instances.All {
		if !match(in) {
			continue
		}
		if reason := exclusionReason(in, planOf[id]); reason != "" {
			excluded = append(excluded, fleet.Left{Instance: id, Reason: reason})
			continue
		}
		cores, _ := t.Held(id)
		chosen = append(chosen, candidate{in: in, action: actionOf(intent), to: destinationPool(intent, in), heldCores: cores})
	}
	excluded = append(excluded, unknownInstances(t, intent)...)
	return chosen, excluded, nil
}

// matcher returns the predicate that selects the intent's instances. It fails when the intent is invalid.
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
		return matchListed(i)
	case fleet.IntentReplace:
		return matchListed(i)
	}
	return nil, fmt.Errorf("intent %q is not known; use empty-rack, empty-data-centre, maintain, move or replace", i.Kind)
}

func matchListed(i fleet.Intent) (func(*fleet.Instance) bool, error) {
	if len(i.Instances) == 0 {
		return nil, fmt.Errorf("intent %s names no instance; set instances", i.Kind)
	}
	return func(in *fleet.Instance) bool { return slices.Contains(i.Instances, in.ID) }, nil
}

// unknownInstances returns the instances that the intent names and the tables don't have.
func unknownInstances(t *fleet.Tables, i fleet.Intent) []fleet.Left {
	var excluded []fleet.Left
	for _, id := range i.Instances {
		if t.Instances.Get(id) == nil {
			excluded = append(excluded, fleet.Left{Instance: id, Reason: "the instance is not known; look at 'rackstep instances'"})
		}
	}
	return excluded
}

// activePlans returns, for each instance with an unfinished step, the active plan that the step belongs to.
func activePlans(t *fleet.Tables) map[string]string {
	plans := make(map[string]string)
	for id, p := range t.Plans.All {
		if !p.Active() {
			continue
		}
		for i := range p.Steps {
			if !p.Steps[i].State.Ended() {
				plans[p.Steps[i].Instance] = id
			}
		}
	}
	return plans
}

// exclusionReason returns why the instance can't be planned, or an empty string.
func exclusionReason(in *fleet.Instance, plan string) string {
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

func destinationPool(i fleet.Intent, in *fleet.Instance) string {
	if i.Kind == fleet.IntentMove {
		return i.Pool
	}
	return in.Pool
}

// waves groups candidates into waves that respect every budget.
type waves struct {
	t        *fleet.Tables
	waiting  []candidate
	margins  []margin
	excluded []fleet.Left
	// maxOut is the size of the largest wave.
	maxOut int
}

// margin is a budget and the number of instances that it can still spare.
type margin struct {
	fleet.Budget
	fleet.Spare
	// returningOnly is set when the margin applies only to instances that return after their action.
	returningOnly bool
}

// appliesTo reports whether taking the candidate out must respect the margin.
func (m *margin) appliesTo(c candidate) bool {
	return m.Covers(c.in.Pool, c.in.DataCentre) && (!m.returningOnly || c.action == fleet.ActionReboot)
}

func newWaves(t *fleet.Tables, chosen []candidate) *waves {
	slices.SortStableFunc(chosen, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.heldCores, b.heldCores), cmp.Compare(a.in.Rack, b.in.Rack), cmp.Compare(a.in.ID, b.in.ID))
	})
	return &waves{t: t, waiting: chosen, margins: margins(t)}
}

// margins returns the margins of every configured budget, of the capacity that each pool's jobs need, and of one instance in each
// data centre.
func margins(t *fleet.Tables) []margin {
	var all []margin
	for _, b := range append(t.Configuration.Budgets(), jobCapacityBudgets(t)...) {
		all = append(all, margin{Budget: b, Spare: t.Spare(b)})
	}
	for _, b := range onePerDataCentreBudgets(t) {
		all = append(all, margin{Budget: b, Spare: t.Spare(b), returningOnly: true})
	}
	return all
}

// onePerDataCentreBudgets returns budgets that keep one instance of each service's pool in every data centre that has two or more, so
// that a data centre that gets cut off during a plan can continue to serve.
//
// These budgets exist only in planning and are not enforced by the fold. They only serialise instances that return after their
// action.
func onePerDataCentreBudgets(t *fleet.Tables) []fleet.Budget {
	type location struct{ pool, dataCentre string }
	count := make(map[location]int)
	for _, in := range t.Instances.All {
		if !in.Down || in.Plan != "" { // an instance that a plan has taken out will be back
			count[location{in.Pool, in.DataCentre}]++
		}
	}
	var budgets []fleet.Budget
	for i := range t.Configuration.Services {
		s := &t.Configuration.Services[i]
		b := fleet.Budget{Name: s.Name + " within each data centre", Pool: s.Pool, MinPerDataCentre: 1}
		for _, dc := range s.DataCentres {
			if count[location{s.Pool, dc}] > 1 {
				b.DataCentres = append(b.DataCentres, dc)
			}
		}
		if len(b.DataCentres) > 0 {
			budgets = append(budgets, b)
		}
	}
	return budgets
}

// maxJobFill is the largest fraction of a pool's cores that jobs may be planned to use.
const maxJobFill = 0.9

// jobCapacityBudgets returns, for each pool with jobs, a budget of the instances that its running and pending jobs need.
//
// These budgets exist only in planning and are not enforced by the fold.
func jobCapacityBudgets(t *fleet.Tables) []fleet.Budget {
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
		jobCoresPerInstance := float64(cores[p.Name]) / float64(count[p.Name]) * maxJobFill
		required := int(math.Ceil(float64(needed[p.Name]) / jobCoresPerInstance))
		budgets = append(budgets, fleet.Budget{Name: "jobs of pool " + p.Name, Pool: p.Name, Min: min(required, count[p.Name]-1)})
	}
	return budgets
}

// build returns the steps of all waves and the number of waves.
func (w *waves) build() (steps []fleet.Step, count int) {
	for len(w.waiting) > 0 {
		taken := w.next()
		if len(taken) == 0 {
			w.excludeWaiting()
			break
		}
		for _, c := range taken {
			steps = append(steps, fleet.Step{Instance: c.in.ID, Wave: count, Action: c.action, From: c.in.Pool, To: c.to, State: fleet.StepWaiting})
		}
		w.returnToService(taken)
		w.maxOut = max(w.maxOut, len(taken))
		count++
	}
	return steps, count
}

// next removes the next wave from the waiting candidates: as many as the budgets allow to be out at once.
func (w *waves) next() []candidate {
	var taken, rest []candidate
	for _, c := range w.waiting {
		if c.in.Available() && w.blocking(c) != "" {
			rest = append(rest, c)
			continue
		}
		if c.in.Available() {
			w.adjustMargins(c.in.Pool, c.in.DataCentre, -1)
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
		if m.appliesTo(c) && m.In(c.in.DataCentre) < 1 {
			return m.Name
		}
	}
	return ""
}

// adjustMargins adds n to the margins that cover the pool in the data centre.
func (w *waves) adjustMargins(pool, dataCentre string, n int) {
	for i := range w.margins {
		if w.margins[i].Covers(pool, dataCentre) {
			w.margins[i].Add(dataCentre, n)
		}
	}
}

// returnToService adds the instances that serve again after the wave back to the margins.
func (w *waves) returnToService(taken []candidate) {
	for _, c := range taken {
		if c.action != fleet.ActionStop && c.action != fleet.ActionHold {
			w.adjustMargins(c.to, c.in.DataCentre, 1)
		}
	}
}

// excludeWaiting excludes the remaining candidates from the plan, with the budget that blocks each as the reason.
func (w *waves) excludeWaiting() {
	for _, c := range w.waiting {
		w.excluded = append(w.excluded, fleet.Left{Instance: c.in.ID,
			Reason: fmt.Sprintf("the budget of %s has no instance to spare in %s; add capacity or lower it", w.blocking(c), c.in.DataCentre)})
	}
	w.waiting = nil
}
