// SPDX-License-Identifier: MIT

package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// Fault is a named failure that a trial injects while the plan runs.
type Fault struct {
	Name, Description string
	inject            func(s *Site)
	clear             func(s *Site)
}

// Faults returns the faults that a trial can inject.
func Faults() []Fault {
	platform := func(f standin.Faults) func(*Site) { return func(s *Site) { s.Platform.SetFaults(f) } }
	healthy := platform(standin.Faults{})
	target := func(f standin.TargetFaults) func(*Site) {
		return func(s *Site) { s.Targets[RunnerName(0, 0)].SetFaults(f) }
	}
	first, second := Centre(0), Centre(1)
	return []Fault{
		{"log-down", "the log rejects every call for 5 s", platform(standin.Faults{LogDown: true}), healthy},
		{"log-slow", "every append takes 300 ms", platform(standin.Faults{LogDelay: 300 * time.Millisecond}), healthy},
		{"log-answers-lost", "every third append's answer is lost after its effect", platform(standin.Faults{DropAppendReplyEvery: 3}), healthy},
		{"log-duplicates", "every second append is added twice", platform(standin.Faults{DuplicateEvery: 2}), healthy},
		{"list-lags", "the instance list is 4 s old", platform(standin.Faults{ListLag: 4 * time.Second}), healthy},
		{"list-down", "the instance list does not answer for 5 s", platform(standin.Faults{ListDown: true}), healthy},
		{"commands-lost", "every second command's answer is lost after its effect", platform(standin.Faults{DropCommandReplyEvery: 2}), healthy},
		{"target-fails", "one target fails every request immediately", target(standin.TargetFaults{Fail: true}), target(standin.TargetFaults{})},
		{"target-truncates", "one target truncates its answers", target(standin.TargetFaults{Truncate: true}), target(standin.TargetFaults{})},
		{"target-dies", "one target's instance is down for 5 s", func(s *Site) { s.Platform.SetDown(RunnerName(0, 0), true) }, func(s *Site) { s.Platform.SetDown(RunnerName(0, 0), false) }},
		{"centre-cut", "a data centre is cut off from the others for 5 s", func(s *Site) { s.cutFromOthers(first, true) }, func(s *Site) { s.cutFromOthers(first, false) }},
		{"centre-isolated", "a data centre is cut off from the others and the platform for 5 s", func(s *Site) { s.Isolate(second, true) }, func(s *Site) { s.Isolate(second, false) }},
	}
}

func (s *Site) cutFromOthers(centre string, cut bool) {
	for i := range s.Spec.DataCentres {
		if other := Centre(i); other != centre {
			s.SetCut(centre, other, cut)
		}
	}
}

// Result holds the measurements of a trial and the guarantees that it found violated.
type Result struct {
	Requests RequestReport
	History  History
	// RollOut is the time from the confirmation to the end of the plan.
	RollOut time.Duration
	// PlatformViolations lists the commands that interrupted a task or a request on their machine.
	PlatformViolations []string
	Violations         []string
}

// Options configures Run.
type Options struct {
	Spec Spec
	// Fault is injected while the plan runs; an empty name means none.
	Fault Fault
	// Out receives the progress and the report.
	Out io.Writer
}

// faultTime is the duration of a fault.
const faultTime = 5 * time.Second

// Run starts a site, publishes its configuration, and carries out a maintenance plan under load while it injects the fault
// and replaces an entry. The result lists every violated guarantee.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	site, err := Start(o.Spec, nil)
	if err != nil {
		return Result{}, err
	}
	defer site.Stop()
	t := &trialRun{site: site, options: o, began: time.Now()}
	t.logf("started %d entries in %d data centres, %d targets, %d workers", o.Spec.DataCentres*o.Spec.EntriesEach, o.Spec.DataCentres, len(site.Targets), o.Spec.Workers)
	if err := site.Publish(ctx); err != nil {
		return Result{}, err
	}
	t.logf("configuration version 1 is in force at every entry")
	return t.runUnderLoad(ctx)
}

type trialRun struct {
	site    *Site
	options Options
	began   time.Time
	rollOut time.Duration
}

func (t *trialRun) logf(format string, args ...any) {
	fmt.Fprintf(t.options.Out, "%6.2fs  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

func (t *trialRun) runUnderLoad(ctx context.Context) (Result, error) {
	load := &Load{Site: t.site, Callers: 24, Work: 10 * time.Millisecond, Pause: 5 * time.Millisecond}
	loadCtx, stopLoad := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { load.Run(loadCtx); close(done) }()
	err := t.runScenario(ctx)
	stopLoad()
	<-done
	if err != nil {
		return Result{}, err
	}
	r := Result{Requests: t.site.Evaluate(load.Replies()), History: t.site.Replay(), RollOut: t.rollOut, PlatformViolations: t.site.Platform.Interruptions()}
	r.Violations = r.violations()
	t.printReport(r)
	return r, nil
}

func (t *trialRun) runScenario(ctx context.Context) error {
	if err := t.submitJobs(ctx); err != nil {
		return err
	}
	p, err := t.planAndConfirm(ctx)
	if err != nil {
		return err
	}
	if t.options.Fault.Name != "" {
		t.logf("fault %s: %s", t.options.Fault.Name, t.options.Fault.Description)
		t.options.Fault.inject(t.site)
		time.AfterFunc(faultTime, func() {
			t.options.Fault.clear(t.site)
			t.logf("fault %s is over", t.options.Fault.Name)
		})
	}
	t.replaceEntry()
	return t.awaitPlan(ctx, p)
}

// submitJobs submits jobs to the batch pool that are still running when the plan starts.
func (t *trialRun) submitJobs(ctx context.Context) error {
	if t.options.Spec.Workers == 0 {
		return nil
	}
	jobs := 2 * t.options.Spec.Workers
	for i := range jobs {
		spec := fleet.JobSpec{ID: fmt.Sprintf("job-%03d", i), Pool: BatchPool, Cores: 4, MemoryMB: 1024, RunTime: fleet.Duration(4 * time.Second),
			Repeatable: i%2 == 0, Command: fmt.Sprintf("run %dms", 1000+100*(i%40))}
		if err := t.submit(ctx, spec); err != nil {
			return err
		}
	}
	t.logf("submitted %d jobs, half of them not to be repeated", jobs)
	return nil
}

func (t *trialRun) submit(ctx context.Context, spec fleet.JobSpec) error {
	return t.callJob(ctx, http.MethodPost, "", spec)
}

// callJob submits the job, or cancels the one that the path names.
func (t *trialRun) callJob(ctx context.Context, method, path string, spec fleet.JobSpec) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	callers := t.site.Callers()
	if len(callers) == 0 {
		return errors.New("submit or cancel job: no entry is ready")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers[0]+"/v1/jobs"+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("submit or cancel job: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+TeamToken)
	resp, err := t.site.http.Do(req)
	if err != nil {
		return fmt.Errorf("submit or cancel job: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return &serve.Problem{Status: resp.StatusCode, Detail: "job call refused"}
	}
	return nil
}

// planAndConfirm makes a plan that maintains every instance, and confirms it.
func (t *trialRun) planAndConfirm(ctx context.Context) (fleet.Plan, error) {
	client := t.site.Operator(OperatorToken)
	p, err := client.Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
	if err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	t.logf("intent %q: plan %s, %d steps in %d waves, at most %d instances out at once, %d left out", p.Intent.Kind, p.ID, len(p.Steps), p.Waves, p.Estimate.Buffer, len(p.Left))
	for _, l := range p.Left {
		t.logf("  left out: %s: %s", l.Instance, l.Reason)
	}
	if _, err := client.Order(ctx, p.ID, fleet.OrderConfirm); err != nil {
		return p, fmt.Errorf("confirm: %w", err)
	}
	t.logf("confirmed")
	t.rollOut = -time.Since(t.began)
	return p, nil
}

// replaceEntry stops one entry gracefully and starts another in its place.
func (t *trialRun) replaceEntry() {
	name := EntryName(t.options.Spec.DataCentres-1, t.options.Spec.EntriesEach-1)
	centre := Centre(t.options.Spec.DataCentres - 1)
	go func() {
		t.site.StopEntry(name)
		t.logf("entry %s completed its planned stop", name)
		if err := t.site.StartEntry(name+"2", centre); err != nil {
			t.logf("failed to start entry %s2: %v", name, err)
			return
		}
		t.logf("started entry %s2 in its place", name)
	}()
}

func (t *trialRun) awaitPlan(ctx context.Context, p fleet.Plan) error {
	lastQuarter := -1
	err := t.site.Await(ctx, func() bool {
		now, err := t.site.Operator(OperatorToken).GetPlan(ctx, p.ID)
		if err != nil {
			return false
		}
		done := 0
		for _, s := range now.Steps {
			if s.State.Ended() {
				done++
			}
		}
		if done*4/max(1, len(now.Steps)) != lastQuarter {
			lastQuarter = done * 4 / max(1, len(now.Steps))
			t.logf("%d of %d steps done", done, len(now.Steps))
		}
		return now.State == fleet.PlanDone
	})
	t.rollOut += time.Since(t.began)
	if err != nil {
		t.printTimeline(ctx, p.ID)
	}
	return err
}

// printTimeline prints the last events of a plan that did not finish.
func (t *trialRun) printTimeline(ctx context.Context, plan string) {
	line, err := t.site.Operator(OperatorToken).TimeLine(context.WithoutCancel(ctx), event.Subject{Plan: plan})
	if err != nil {
		t.logf("get time line of plan %s: %v", plan, err)
		return
	}
	for _, e := range line.Events[max(0, len(line.Events)-20):] {
		t.logf("  %s %s %s %s", e.Entry, e.Name, e.Instance, e.Text)
	}
}

func (r Result) violations() []string {
	out := r.Requests.Violations()
	for name, m := range r.History.MinMargin {
		if m < 0 {
			out = append(out, fmt.Sprintf("the budget of %s was exceeded by %d", name, -m))
		}
	}
	for _, id := range r.History.RanTwice {
		out = append(out, "job "+id+" ran twice")
	}
	return append(out, r.PlatformViolations...)
}

func (t *trialRun) printReport(r Result) {
	v := r.Requests
	out := t.options.Out
	fmt.Fprintf(out, "\nrequests %d: whole %d, not run %d, unknown %d; without an answer %d, run twice %d\n", v.Requests, v.Whole, v.NotRun, v.Unknown, v.NoAnswer, v.RanTwice)
	for _, reason := range slices.Sorted(maps.Keys(v.Reasons)) {
		fmt.Fprintf(out, "  %-24s %d\n", reason, v.Reasons[reason])
	}
	fmt.Fprintf(out, "latency of whole answers: p50 %s, p99 %s\n", v.P50.Round(100*time.Microsecond), v.P99.Round(100*time.Microsecond))
	lowest := slices.Min(slices.Collect(maps.Values(r.History.MinMargin)))
	fmt.Fprintf(out, "budgets: lowest margin %d\n", lowest)
	fmt.Fprintf(out, "jobs: %v\n", r.History.Jobs)
	fmt.Fprintf(out, "roll-out time %s, buffer %d instances, job moves %d\n", r.RollOut.Round(10*time.Millisecond), r.History.MaxOut, r.History.Moves)
	if len(r.Violations) == 0 {
		fmt.Fprintln(out, "all guarantees were kept")
		return
	}
	fmt.Fprintf(out, "VIOLATIONS:\n  %s\n", strings.Join(r.Violations, "\n  "))
}
