// SPDX-License-Identifier: MIT

//go:build !race

// These tests run without the race detector: with it, the runtime of Go 1.26 crashes when a timer's channel is selected on
// a fake clock (a nil bubble in runtime.(*timer).maybeRunChan).

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

// fleetCell is one run of the scenario with a fault at the first occurrence of one step.
type fleetCell struct {
	site     *Site
	step     string
	after    bool
	fault    fleetFault
	mu       sync.Mutex
	armed    bool
	injected bool
	work     sync.WaitGroup
}

// fleetFault is injected once; inject returns whether the call fails.
type fleetFault struct {
	name   string
	inject func(c *fleetCell, call standin.Call) bool
}

// fleetSteps returns the steps of the matrix: the kinds of records and calls that change the fleet.
func fleetSteps() []string {
	return []string{
		"configure", "join", "observe", "propose", "order", "draining", "drained", "acting", "done",
		"submit", "start", "settle", "yield", "measure", "throttle", "cancel", "checkpoint", "command", "task",
	}
}

// matchesStep reports whether the call, or one of the records that it appends, is of the step's kind.
func matchesStep(call standin.Call, step string) bool {
	if call.Kind != "append" {
		return call.Kind == step
	}
	if call.Log != "fleet" {
		return false
	}
	for _, data := range call.Records {
		if r, err := fleet.DecodeRecord(data); err == nil && recordStep(r) == step {
			return true
		}
	}
	return false
}

func recordStep(r fleet.Record) string {
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
		{"writer-crashes", func(c *fleetCell, call standin.Call) bool { c.restart(writerOf(call)); return false }},
		{"all-replaced", func(c *fleetCell, _ standin.Call) bool {
			for dc := range c.site.Spec.DataCentres {
				for i := range c.site.Spec.EntriesEach {
					c.restart(EntryName(dc, i))
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
		{"log-answers-lost", platform(standin.Faults{DropAppendReplyEvery: 1})},
		{"log-duplicates", platform(standin.Faults{DuplicateEvery: 1})},
		{"log-keeps-little", platform(standin.Faults{RetainedRecords: 12})},
		{"list-stale", platform(standin.Faults{ListLag: 10 * time.Second})},
		{"commands-lost", platform(standin.Faults{DropCommandReplyEvery: 1})},
		{"instances-die", func(c *fleetCell, _ standin.Call) bool {
			for _, id := range [...]string{RunnerName(0, 0), WorkerName(0)} {
				c.site.Platform.SetDown(id, true)
				time.AfterFunc(outage, func() { c.site.Platform.SetDown(id, false) })
			}
			return false
		}},
		{"operators-race", func(c *fleetCell, _ standin.Call) bool { c.work.Go(c.raceOperator); return false }},
	}
}

// restart crashes the entry and starts it again 2 s later.
func (c *fleetCell) restart(name string) {
	centre := c.site.centreOf(name)
	c.site.CrashEntry(name)
	c.work.Go(func() {
		time.Sleep(2 * time.Second)
		_ = c.site.StartEntry(name, centre) // entryViolations reports an entry that is missing
	})
}

// raceOperator publishes a configuration and controls a plan concurrently with the scenario's operator.
func (c *fleetCell) raceOperator() {
	ctx, cancel := context.WithTimeout(context.Background(), outage)
	defer cancel()
	op := c.site.Operator(OperatorToken)
	conf := c.site.Spec.Configuration()
	conf.Weights.Moves = 7
	_, _ = op.Apply(ctx, admin.ApplyRequest{Base: 1, Configuration: conf}) // either operator's version may be accepted
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
	hit := c.armed && !c.injected && after == c.after && matchesStep(call, c.step)
	c.injected = c.injected || hit
	c.mu.Unlock()
	return hit && c.fault.inject(c, call)
}

// scenario performs the calls of an operator and of a job's owner. It retries each call until the outcome is known and
// reports whether its second configuration was accepted.
func (c *fleetCell) scenario(ctx context.Context) (applied bool, err error) {
	if err := c.site.Publish(ctx); err != nil {
		return false, err
	}
	c.runOverusingJob(ctx)
	for i := range 3 {
		spec := fleet.JobSpec{ID: fmt.Sprintf("job-%d", i), Pool: BatchPool, Cores: 2, MemoryMB: 10, RunTime: fleet.Duration(8 * time.Second),
			Repeatable: i == 1, Command: "run 8s"}
		c.retry(ctx, func() error { return c.job(ctx, "POST", "", spec) })
	}
	time.Sleep(2 * time.Second) // by then both workers are full
	urgent := fleet.JobSpec{ID: "urgent", Pool: BatchPool, Cores: 4, RunTime: fleet.Duration(2 * time.Second), Urgent: true, Command: "run 2s"}
	c.retry(ctx, func() error { return c.job(ctx, "POST", "", urgent) })
	time.Sleep(3 * time.Second)
	c.retry(ctx, func() error { return c.job(ctx, "DELETE", "/job-2", fleet.JobSpec{}) })
	conf := c.site.Spec.Configuration()
	conf.Pools = append(conf.Pools, fleet.Pool{Name: "spare"})
	applied = c.retry(ctx, func() error {
		_, err := c.site.Operator(OperatorToken).Apply(ctx, admin.ApplyRequest{ID: "second", Base: 1, Configuration: conf})
		return err
	})
	if err := c.runPlan(ctx, fleet.Intent{Kind: fleet.IntentMaintain}); err != nil {
		return applied, err
	}
	if !applied {
		return applied, nil // the other operator's configuration has no spare pool
	}
	return applied, c.runPlan(ctx, fleet.Intent{Kind: fleet.IntentMove, Pool: "spare", Instances: []string{RunnerName(0, 3)}})
}

// runOverusingJob runs two jobs on one worker; the first uses more cores than it declares.
func (c *fleetCell) runOverusingJob(ctx context.Context) {
	for _, command := range [...]string{"run 6s use 3", "run 6s"} {
		spec := fleet.JobSpec{ID: "greedy-" + fmt.Sprint(len(command)), Pool: BatchPool, Cores: 2, MemoryMB: 10, RunTime: fleet.Duration(6 * time.Second), Repeatable: true, Command: command}
		c.retry(ctx, func() error { return c.job(ctx, "POST", "", spec) })
	}
	time.Sleep(7 * time.Second)
}

// retry repeats the call until it is accepted, refused with status 409, or the context is done. It reports whether the call
// was accepted.
func (c *fleetCell) retry(ctx context.Context, call func() error) bool {
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

// runPlan makes and confirms plans until one runs, and waits until it is done.
func (c *fleetCell) runPlan(ctx context.Context, intent fleet.Intent) error {
	for ctx.Err() == nil {
		op := c.site.Operator(OperatorToken)
		p, err := op.Plan(ctx, intent)
		if err == nil {
			if _, err = op.Order(ctx, p.ID, fleet.OrderConfirm); err == nil {
				return c.site.AwaitPlan(ctx, p.ID, fleet.PlanDone) // the plan may not be visible at other entries yet
			}
			// If the outcome of the confirmation is unknown, look the plan up before making a new one.
			time.Sleep(12 * time.Second)
			if current, lookErr := c.site.Operator(OperatorToken).GetPlan(ctx, p.ID); lookErr == nil && current.State != fleet.PlanProposed {
				return c.site.AwaitPlan(ctx, p.ID, fleet.PlanDone)
			}
		}
		time.Sleep(time.Second)
	}
	return ctx.Err()
}

func runFleetCell(step string, after bool, fault fleetFault) (result string, violations []string) {
	c := &fleetCell{step: step, after: after, fault: fault, armed: true}
	spec := smallSpec()
	spec.Network = new(memnet.Network)
	spec.CheckpointEvery = 6 * time.Second
	site, err := startWithProbe(spec, c.probe)
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
	start := time.Now()
	applied, err := c.scenario(ctx)
	took := time.Since(start)
	time.Sleep(outage + 10*time.Second)
	stop()
	loads.Wait()
	if err != nil {
		violations = append(violations, fmt.Sprintf("the scenario did not complete: %v", err))
	}
	violations = append(violations, c.violations(ctx, applied, load.Replies())...)
	h := site.Replay()
	return fmt.Sprintf("%s, %d requests, moves %d, jobs %v", took.Round(time.Second), len(load.Replies()), h.Moves, h.Jobs), violations
}

// violations lists the guarantees that the run shows to be violated.
func (c *fleetCell) violations(ctx context.Context, applied bool, replies []Reply) []string {
	var out []string
	for _, b := range c.site.Evaluate(replies).Violations() {
		crashed := strings.Contains(c.fault.name, "crash") || c.fault.name == "all-replaced"
		if crashed && strings.Contains(b, "without an answer") {
			continue // an entry that crashed can't answer
		}
		out = append(out, b)
	}
	h := c.site.Replay()
	for budget, m := range h.MinMargin {
		if m < 0 {
			out = append(out, fmt.Sprintf("a drain exceeded the budget of %s", budget))
		}
	}
	for _, id := range h.RanTwice {
		out = append(out, "job "+id+" ran twice")
	}
	out = append(out, c.site.Platform.Interruptions()...)
	if !c.injected {
		out = append(out, "the step was never reached")
	}
	return append(out, c.finalViolations(ctx, applied)...)
}

// finalViolations checks the state of every entry after all faults are over.
func (c *fleetCell) finalViolations(ctx context.Context, applied bool) (out []string) {
	if !c.converged(ctx) {
		out = append(out, "entries differ in offset, version or number of members")
	}
	for _, name := range c.entryNames() {
		out = append(out, c.entryViolations(ctx, name, applied)...)
	}
	return out
}

func (c *fleetCell) entryNames() (names []string) {
	for dc := range c.site.Spec.DataCentres {
		for i := range c.site.Spec.EntriesEach {
			names = append(names, EntryName(dc, i))
		}
	}
	return names
}

// converged reports whether all entries reach the same offset, version and number of members. It retries for 10 s, since a
// record may be in transit at any single check.
func (c *fleetCell) converged(ctx context.Context) bool {
	for range 20 {
		seen := make(map[string]bool)
		for _, name := range c.entryNames() {
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

func (c *fleetCell) entryViolations(ctx context.Context, name string, applied bool) (out []string) {
	op := c.site.OperatorOf(name, OperatorToken)
	st, err := op.Status(ctx)
	if err != nil {
		return []string{fmt.Sprintf("entry %s failed to report its status: %v", name, err)}
	}
	conf, err := op.Configuration(ctx)
	if err != nil || (applied && conf.Configuration.Pool("spare") == nil) {
		out = append(out, fmt.Sprintf("entry %s has not applied the accepted configuration", name))
	}
	for _, s := range []fleet.JobState{fleet.JobPending, fleet.JobStarting, fleet.JobRunning, fleet.JobCancelling} {
		if n := st.Jobs[s]; n > 0 {
			out = append(out, fmt.Sprintf("entry %s still has %d jobs in state %s", name, n, s))
		}
	}
	list, err := op.Instances(ctx)
	if err != nil {
		out = append(out, fmt.Sprintf("entry %s failed to list instances: %v", name, err))
	}
	for _, in := range list {
		if !in.Available() {
			out = append(out, fmt.Sprintf("instance %s is %s (down %t) at entry %s", in.ID, in.State, in.Down, name))
		}
	}
	return out
}

// TestFleetFaultMatrix guards against violated budgets, jobs that run twice and entries that diverge when a fault occurs
// before or after any step that changes the fleet.
func TestFleetFaultMatrix(t *testing.T) {
	var cells []matrixCell
	for _, step := range fleetSteps() {
		for _, after := range [...]bool{false, true} {
			for _, fault := range fleetFaults() {
				name := fmt.Sprintf("%s %s, %s", phase(after), step, fault.name)
				cells = append(cells, matrixCell{name, func() (string, []string) { return runFleetCell(step, after, fault) }})
			}
		}
	}
	runMatrix(t, cells)
}
