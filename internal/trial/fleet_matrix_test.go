// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

package trial

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"rackstep.dev/admin"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// fleetCell is one run of the whole scenario with a fault at the first occurrence of one step.
type fleetCell struct {
	site  *Site
	step  string
	after bool
	fault fleetFault
	mu    sync.Mutex
	armed bool
	hit   bool
	work  sync.WaitGroup
}

// fleetFault is thrown once; it returns whether the call fails.
type fleetFault struct {
	name  string
	throw func(c *fleetCell, call standin.Call) bool
}

// fleetSteps are the records and calls by which the fleet changes; each is a step of the matrix.
func fleetSteps() []string {
	return []string{
		"configure", "join", "observe", "propose", "order", "draining", "drained", "acting", "done",
		"submit", "start", "settle", "yield", "measure", "throttle", "cancel", "checkpoint", "command", "task",
	}
}

// isStep says whether the call is the step, or one of its records is.
func isStep(call standin.Call, step string) bool {
	if call.Kind != "append" {
		return call.Kind == step
	}
	if call.Log != "fleet" {
		return false
	}
	for _, data := range call.Records {
		if r, err := fleet.DecodeRecord(data); err == nil && stepOfRecord(r) == step {
			return true
		}
	}
	return false
}

func stepOfRecord(r fleet.Record) string {
	switch {
	case r.Configure != nil:
		return "configure"
	case r.Join != nil:
		return "join"
	case r.Observe != nil:
		return "observe"
	case r.Propose != nil:
		return "propose"
	case r.Control != nil:
		return "order"
	case r.Advance != nil:
		return string(r.Advance.To)
	case r.Submit != nil:
		return "submit"
	case r.Start != nil:
		return "start"
	case r.Settle != nil:
		return "settle"
	case r.Yield != nil:
		return "yield"
	case r.Measure != nil:
		return "measure"
	case r.Throttle != nil:
		return "throttle"
	case r.Cancel != nil:
		return "cancel"
	case r.Checkpoint != nil:
		return "checkpoint"
	}
	return ""
}

func writerOf(call standin.Call) string {
	if call.Kind == "append" {
		if r, err := fleet.DecodeRecord(call.Records[0]); err == nil && r.Writer != "" {
			return r.Writer
		}
	}
	return EntryName(0, 0)
}

func fleetFaults() []fleetFault {
	platform := func(f standin.Faults) func(*fleetCell, standin.Call) bool {
		return func(c *fleetCell, _ standin.Call) bool {
			c.site.Platform.SetFaults(f)
			time.AfterFunc(outage, func() { c.site.Platform.SetFaults(standin.Faults{}) })
			return false
		}
	}
	return []fleetFault{
		{"none", func(*fleetCell, standin.Call) bool { return false }},
		{"call-fails", func(*fleetCell, standin.Call) bool { return true }},
		{"late", func(*fleetCell, standin.Call) bool { time.Sleep(outage); return false }},
		{"again-later", func(c *fleetCell, call standin.Call) bool {
			if call.Kind == "append" {
				time.AfterFunc(outage, func() { c.site.Platform.Append(call.Log, call.Records) })
			}
			return false
		}},
		{"writer-crashes", func(c *fleetCell, call standin.Call) bool { c.replace(writerOf(call)); return false }},
		{"all-replaced", func(c *fleetCell, _ standin.Call) bool {
			for dc := range c.site.Spec.DataCentres {
				for i := range c.site.Spec.EntriesEach {
					c.replace(EntryName(dc, i))
				}
			}
			return false
		}},
		{"writer-isolated", func(c *fleetCell, call standin.Call) bool {
			centre := c.site.centreOf(writerOf(call))
			c.site.Isolate(centre, true)
			time.AfterFunc(outage, func() { c.site.Isolate(centre, false) })
			return false
		}},
		{"log-down", platform(standin.Faults{LogDown: true})},
		{"log-slow", platform(standin.Faults{LogDelay: time.Second})},
		{"log-answers-lost", platform(standin.Faults{LoseEvery: 1})},
		{"log-duplicates", platform(standin.Faults{TwiceEvery: 1})},
		{"log-keeps-little", platform(standin.Faults{Keep: 12})},
		{"list-stale", platform(standin.Faults{ListLag: 10 * time.Second})},
		{"commands-lost", platform(standin.Faults{LoseCommands: 1})},
		{"instances-die", func(c *fleetCell, _ standin.Call) bool {
			for _, id := range [...]string{RunnerName(0, 0), WorkerName(0)} {
				c.site.Platform.SetDown(id, true)
				time.AfterFunc(outage, func() { c.site.Platform.SetDown(id, false) })
			}
			return false
		}},
		{"operators-race", func(c *fleetCell, _ standin.Call) bool { c.work.Go(c.race); return false }},
	}
}

// replace crashes the entry and starts another life of it a little later.
func (c *fleetCell) replace(name string) {
	centre := c.site.centreOf(name)
	c.site.CrashEntry(name)
	c.work.Go(func() {
		time.Sleep(2 * time.Second)
		_ = c.site.StartEntry(name, centre) // the scenario's end shows an entry that is missing
	})
}

// race publishes, plans, confirms, pauses and resumes beside the scenario's own operator.
func (c *fleetCell) race() {
	ctx, cancel := context.WithTimeout(context.Background(), outage)
	defer cancel()
	op := c.site.Operator(OperatorToken)
	conf := c.site.Spec.Configuration()
	conf.Weights.Moves = 7
	_, _ = op.Apply(ctx, admin.ApplyRequest{Base: 1, Configuration: conf}) // either operator may win
	p, err := op.Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
	if err != nil {
		return
	}
	_, _ = op.Order(ctx, p.ID, fleet.OrderConfirm)
	_, _ = op.Order(ctx, p.ID, fleet.OrderPause)
	_, _ = op.Order(ctx, p.ID, fleet.OrderResume)
	time.Sleep(3 * time.Second)
	_, _ = op.Order(ctx, p.ID, fleet.OrderCancel)
}

func (c *fleetCell) probe(call standin.Call, after bool) bool {
	c.mu.Lock()
	hit := c.armed && !c.hit && after == c.after && isStep(call, c.step)
	c.hit = c.hit || hit
	c.mu.Unlock()
	return hit && c.fault.throw(c, call)
}

// scenario is what an operator and a caller do; every call is repeated until its outcome is known.
func (c *fleetCell) scenario(ctx context.Context) (applied bool, err error) {
	if err := c.site.Publish(ctx); err != nil {
		return false, err
	}
	c.greedy(ctx)
	for i := range 3 {
		spec := fleet.JobSpec{ID: fmt.Sprintf("job-%d", i), Pool: BatchPool, Cores: 2, MemoryMB: 10, RunTime: fleet.Duration(8 * time.Second),
			Repeatable: i == 1, Command: "run 8s"}
		c.until(ctx, func() error { return c.job(ctx, "POST", "", spec) })
	}
	time.Sleep(2 * time.Second) // both workers are full then
	urgent := fleet.JobSpec{ID: "urgent", Pool: BatchPool, Cores: 4, RunTime: fleet.Duration(2 * time.Second), Urgent: true, Command: "run 2s"}
	c.until(ctx, func() error { return c.job(ctx, "POST", "", urgent) })
	time.Sleep(3 * time.Second)
	c.until(ctx, func() error { return c.job(ctx, "DELETE", "/job-2", fleet.JobSpec{}) })
	conf := c.site.Spec.Configuration()
	conf.Pools = append(conf.Pools, fleet.Pool{Name: "spare"})
	applied = c.until(ctx, func() error {
		_, err := c.site.Operator(OperatorToken).Apply(ctx, admin.ApplyRequest{ID: "second", Base: 1, Configuration: conf})
		return err
	})
	if err := c.carryOut(ctx, fleet.Intent{Kind: fleet.IntentMaintain}); err != nil {
		return applied, err
	}
	if !applied {
		return applied, nil // another operator won, so the spare pool is not there
	}
	return applied, c.carryOut(ctx, fleet.Intent{Kind: fleet.IntentMove, Pool: "spare", Instances: []string{RunnerName(0, 3)}})
}

// greedy runs two jobs on one worker, of which the first uses more than it declares.
func (c *fleetCell) greedy(ctx context.Context) {
	for _, command := range [...]string{"run 6s use 3", "run 6s"} {
		spec := fleet.JobSpec{ID: "greedy-" + fmt.Sprint(len(command)), Pool: BatchPool, Cores: 2, MemoryMB: 10, RunTime: fleet.Duration(6 * time.Second), Repeatable: true, Command: command}
		c.until(ctx, func() error { return c.job(ctx, "POST", "", spec) })
	}
	time.Sleep(7 * time.Second)
}

// until repeats the call while its outcome is unknown or nobody answers; it says whether it was accepted.
func (c *fleetCell) until(ctx context.Context, call func() error) bool {
	for {
		err := call()
		var p *serve.Problem
		if err == nil || (errors.As(err, &p) && p.Status == 409) || ctx.Err() != nil {
			return err == nil
		}
		time.Sleep(time.Second)
	}
}

func (c *fleetCell) job(ctx context.Context, method, path string, spec fleet.JobSpec) error {
	t := trialRun{site: c.site}
	return t.callJob(ctx, method, path, spec)
}

// carryOut plans and confirms until a plan runs, and waits for its end.
func (c *fleetCell) carryOut(ctx context.Context, intent fleet.Intent) error {
	for ctx.Err() == nil {
		op := c.site.Operator(OperatorToken)
		p, err := op.Plan(ctx, intent)
		if err == nil {
			if _, err = op.Order(ctx, p.ID, fleet.OrderConfirm); err == nil {
				return c.site.AwaitPlan(ctx, p.ID, fleet.PlanDone) // other entries may not have read it yet
			}
			// An unknown outcome is looked up before a new plan is made.
			time.Sleep(12 * time.Second)
			if now, lookErr := c.site.Operator(OperatorToken).GetPlan(ctx, p.ID); lookErr == nil && now.State != fleet.PlanProposed {
				return c.site.AwaitPlan(ctx, p.ID, fleet.PlanDone)
			}
		}
		time.Sleep(time.Second)
	}
	return ctx.Err()
}

func runFleetCell(step string, after bool, fault fleetFault) (result string, wrong []string) {
	c := &fleetCell{step: step, after: after, fault: fault, armed: true}
	spec := smallest()
	spec.Network = new(memnet.Network)
	spec.CheckpointEvery = 6 * time.Second
	site, err := startWith(spec, c.probe)
	if err != nil {
		return "", []string{err.Error()}
	}
	c.site = site
	defer site.Stop()
	defer c.work.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	load := &Load{Site: site, Callers: 2, Work: 20 * time.Millisecond, Pause: 300 * time.Millisecond}
	loading, stop := context.WithCancel(ctx)
	var loads sync.WaitGroup
	loads.Go(func() { load.Run(loading) })
	begin := time.Now()
	applied, err := c.scenario(ctx)
	took := time.Since(begin)
	time.Sleep(outage + 10*time.Second)
	stop()
	loads.Wait()
	if err != nil {
		wrong = append(wrong, fmt.Sprintf("the scenario did not end: %v", err))
	}
	wrong = append(wrong, c.wrong(ctx, applied, load.Told())...)
	h := site.Replay()
	return fmt.Sprintf("%s, %d requests, moves %d, jobs %v", took.Round(time.Second), len(load.Told()), h.Moves, h.Jobs), wrong
}

// wrong lists the promises that the run shows broken.
func (c *fleetCell) wrong(ctx context.Context, applied bool, told []Told) []string {
	var wrong []string
	for _, b := range c.site.Judge(told).Broken() {
		crashed := strings.Contains(c.fault.name, "crash") || c.fault.name == "all-replaced"
		if crashed && strings.Contains(b, "without an answer") {
			continue // an entry that crashed can't answer
		}
		wrong = append(wrong, b)
	}
	h := c.site.Replay()
	for budget, m := range h.Margin {
		if m < 0 {
			wrong = append(wrong, fmt.Sprintf("a take-out broke the budget of %s", budget))
		}
	}
	for _, id := range h.Doubled {
		wrong = append(wrong, "job "+id+" ran twice")
	}
	wrong = append(wrong, c.site.Platform.Cuts()...)
	if !c.hit {
		wrong = append(wrong, "the step was never reached")
	}
	return append(wrong, c.end(ctx, applied)...)
}

// end looks at every entry's own state after everything has healed.
func (c *fleetCell) end(ctx context.Context, applied bool) (wrong []string) {
	if !c.agree(ctx) {
		wrong = append(wrong, "entries differ")
	}
	for _, name := range c.entries() {
		wrong = append(wrong, c.endOf(ctx, name, applied)...)
	}
	return wrong
}

func (c *fleetCell) entries() (names []string) {
	for dc := range c.site.Spec.DataCentres {
		for i := range c.site.Spec.EntriesEach {
			names = append(names, EntryName(dc, i))
		}
	}
	return names
}

// agree says whether all entries come to the same offset, version and members; a record may be on its way at any one look.
func (c *fleetCell) agree(ctx context.Context) bool {
	for range 20 {
		seen := make(map[string]bool)
		for _, name := range c.entries() {
			st, err := c.site.OperatorOf(name, OperatorToken).Status(ctx)
			seen[fmt.Sprint(err, st.Offset, st.Version, len(st.Entries))] = true
		}
		if len(seen) == 1 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func (c *fleetCell) endOf(ctx context.Context, name string, applied bool) (wrong []string) {
	op := c.site.OperatorOf(name, OperatorToken)
	st, err := op.Status(ctx)
	if err != nil {
		return []string{fmt.Sprintf("entry %s does not answer: %v", name, err)}
	}
	conf, err := op.Configuration(ctx)
	if err != nil || (applied && conf.Configuration.Pool("spare") == nil) {
		wrong = append(wrong, fmt.Sprintf("entry %s does not follow the accepted configuration", name))
	}
	for _, s := range []fleet.JobState{fleet.JobPending, fleet.JobStarting, fleet.JobRunning, fleet.JobCancelling} {
		if n := st.Jobs[s]; n > 0 {
			wrong = append(wrong, fmt.Sprintf("entry %s still has %d jobs %s", name, n, s))
		}
	}
	list, err := op.Instances(ctx)
	if err != nil {
		wrong = append(wrong, fmt.Sprintf("entry %s does not list instances: %v", name, err))
	}
	for _, in := range list {
		if !in.Available() {
			wrong = append(wrong, fmt.Sprintf("instance %s is %s (down %t) at entry %s", in.ID, in.State, in.Down, name))
		}
	}
	return wrong
}

// TestFleetFaultMatrix throws every fault before and after every step by which the fleet changes.
func TestFleetFaultMatrix(t *testing.T) {
	var cells []matrixCell
	for _, step := range fleetSteps() {
		for _, after := range [...]bool{false, true} {
			for _, fault := range fleetFaults() {
				name := fmt.Sprintf("%s %s, %s", when(after), step, fault.name)
				cells = append(cells, matrixCell{name, func() (string, []string) { return runFleetCell(step, after, fault) }})
			}
		}
	}
	runMatrix(t, cells)
}
