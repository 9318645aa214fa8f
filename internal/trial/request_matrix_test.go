// SPDX-License-Identifier: MIT

//go:build !race

// These tests run without the race detector: with it, the runtime of Go 1.26 crashes when a timer's channel is selected on
// a fake clock (a nil bubble in runtime.(*timer).maybeRunChan).

package trial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// requestCell is one cell of the matrix: a request and a fault at one of its steps.
type requestCell struct {
	site       *Site
	load       Load
	step       serve.Step
	after      bool
	fault      requestFault
	armed      bool
	mu         sync.Mutex
	injectedAt string // the entry where the fault was injected; empty if the step was not reached
}

// requestFault is injected once, at the entry that takes the step; inject may block that step.
type requestFault struct {
	name   string
	inject func(c *requestCell, entry string)
}

// outage is the duration of a fault of the platform or the network.
const outage = 20 * time.Second

func requestFaults() []requestFault {
	platform := func(f standin.Faults) func(*requestCell, string) {
		return func(c *requestCell, _ string) {
			c.site.Platform.SetFaults(f)
			time.AfterFunc(outage, func() { c.site.Platform.SetFaults(standin.Faults{}) })
		}
	}
	targets := func(f standin.TargetFaults) func(*requestCell, string) {
		return func(c *requestCell, _ string) {
			c.setTargets(f)
			time.AfterFunc(outage, func() { c.setTargets(standin.TargetFaults{}) })
		}
	}
	return []requestFault{
		{"none", func(*requestCell, string) {}},
		{"crash", func(c *requestCell, entry string) { c.site.CrashEntry(entry) }},
		{"planned-stop", func(c *requestCell, entry string) { go c.site.StopEntry(entry) }},
		{"pause", func(*requestCell, string) { time.Sleep(time.Minute) }},
		{"cut-off", func(c *requestCell, entry string) { c.cut(entry, c.site.cutFromOthers) }},
		{"isolated", func(c *requestCell, entry string) { c.cut(entry, c.site.Isolate) }},
		{"neighbours-cut", func(c *requestCell, _ string) {
			a, b := EntryName(1, 0), EntryName(1, 1)
			c.site.SetCut(a, b, true)
			time.AfterFunc(outage, func() { c.site.SetCut(a, b, false) })
		}},
		{"log-down", platform(standin.Faults{LogDown: true})},
		{"log-slow", platform(standin.Faults{LogDelay: 1500 * time.Millisecond})},
		{"log-answers-lost", platform(standin.Faults{DropAppendReplyEvery: 1})},
		{"log-duplicates", platform(standin.Faults{DuplicateEvery: 1})},
		{"list-stale", platform(standin.Faults{ListLag: outage})},
		{"targets-reset", targets(standin.TargetFaults{Reset: true})},
		{"targets-truncate", targets(standin.TargetFaults{Truncate: true})},
		{"targets-fail", targets(standin.TargetFaults{Fail: true})},
		{"targets-slow", targets(standin.TargetFaults{Delay: 7 * time.Second})},
		{"targets-down", func(c *requestCell, _ string) { c.setDown(true); time.AfterFunc(outage, func() { c.setDown(false) }) }},
		{"drain", func(c *requestCell, _ string) { go c.drain() }},
	}
}

func (c *requestCell) setTargets(f standin.TargetFaults) {
	for _, t := range c.site.Targets {
		t.SetFaults(f)
	}
}

func (c *requestCell) setDown(down bool) {
	for id := range c.site.Targets {
		c.site.Platform.SetDown(id, down)
	}
}

func (c *requestCell) cut(entry string, how func(string, bool)) {
	centre := c.site.centreOf(entry)
	how(centre, true)
	time.AfterFunc(outage, func() { how(centre, false) })
}

// drain maintains every instance while the request is in flight.
func (c *requestCell) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), outage)
	defer cancel()
	p, err := c.site.Operator(OperatorToken).Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
	if err == nil {
		_, _ = c.site.Operator(OperatorToken).Order(ctx, p.ID, fleet.OrderConfirm) // without a confirmation nothing drains
	}
}

// probe injects the fault the first time that the step is reached.
func (c *requestCell) probe(entry string, step serve.Step, after bool) {
	c.mu.Lock()
	hit := c.armed && step == c.step && after == c.after
	if hit {
		c.armed = false
		c.injectedAt = entry
	}
	c.mu.Unlock()
	if hit {
		c.fault.inject(c, entry)
	}
}

// startRequestSite starts a site on which every step can occur: requests enter in one data centre and run in the other.
func startRequestSite(probe func(string, serve.Step, bool)) (*Site, error) {
	spec := smallSpec()
	spec.Workers = 0
	spec.Network = new(memnet.Network)
	spec.Probe = probe
	return Start(spec, nil)
}

// newRequest returns the cell's request, which may run in the second data centre only.
func (c *requestCell) newRequest(repeatable bool, mark string) Request {
	r := c.load.repeatableRequest(ServiceName(0), mark, false)
	if !repeatable {
		r = c.load.onceRequest(ServiceName(0), mark, time.Now().Add(2*time.Minute))
	}
	r.Header.Set(serve.HeaderDataCentre, Centre(1))
	return r
}

// sendCopies sends the request, retries it twice as a caller would, and returns the replies.
func (c *requestCell) sendCopies(repeatable bool) []Reply {
	c.load = Load{Site: c.site, Work: 30 * time.Millisecond}
	r := c.newRequest(repeatable, "m")
	first, second := EntryName(0, 0), EntryName(0, 1)
	c.armed = true
	replies := []Reply{c.load.Send(c.site.CallerOf(first), r)}
	for _, wait := range [...]time.Duration{time.Second, outage} {
		time.Sleep(wait)
		replies = append(replies, c.load.Send(c.site.CallerOf(second), r))
	}
	return replies
}

// sendAfterFault returns the reply to a new request after the fault is over.
func (c *requestCell) sendAfterFault() Reply {
	time.Sleep(3 * outage)
	callers := c.site.Callers()
	slices.Sort(callers)
	if len(callers) == 0 {
		return Reply{NoAnswer: true}
	}
	return c.load.Send(callers[0], c.newRequest(true, "healed"))
}

// violations lists the guarantees that the replies show to be violated.
func (c *requestCell) violations(replies []Reply, afterFault Reply) []string {
	var out []string
	for _, v := range c.site.Evaluate(replies).Violations() {
		// An entry that crashed can't answer, and a target that truncates its answers gives no complete one.
		if strings.Contains(v, "without an answer") && (c.fault.name == "crash" || c.fault.name == "targets-truncate") {
			continue
		}
		out = append(out, v)
	}
	if !c.cannotReadLog() {
		out = append(out, deniedCopies(replies)...)
	}
	if c.injectedAt == "" {
		out = append(out, "the step was never reached")
	}
	if afterFault.Outcome != serve.OutcomeWhole || afterFault.Mismatched {
		out = append(out, fmt.Sprintf("after the fault a new request ended with outcome %q, reason %q", afterFault.Outcome, afterFault.Reason))
	}
	return out
}

// cannotReadLog reports whether the fault keeps an entry from reading the claims of earlier copies in the log.
func (c *requestCell) cannotReadLog() bool {
	return c.fault.name == "isolated" || c.fault.name == "log-down"
}

// deniedCopies returns a violation if a copy was answered "not run" after an earlier copy of the same request had run.
func deniedCopies(replies []Reply) []string {
	ran := false
	for _, t := range replies {
		if ran && !t.Repeatable && t.Outcome == serve.OutcomeNotRun {
			return []string{"a copy was answered 'not run' after an earlier copy had run"}
		}
		ran = ran || t.Outcome == serve.OutcomeWhole || t.Reason == serve.ReasonKeyCompleted
	}
	return nil
}

func describeReplies(replies []Reply) string {
	var out []string
	for _, t := range replies {
		switch {
		case t.NoAnswer:
			out = append(out, "lost")
		case t.Outcome == serve.OutcomeWhole:
			out = append(out, "whole")
		default:
			out = append(out, fmt.Sprintf("%s/%s", t.Outcome, t.Reason))
		}
	}
	return strings.Join(out, ", ")
}

// TestRequestFaultMatrix guards against requests that are lost, run twice or misreported when a fault occurs before or after
// any step of a request, and against a site that doesn't recover from the fault.
func TestRequestFaultMatrix(t *testing.T) {
	var cells []matrixCell
	for _, repeatable := range [...]bool{false, true} {
		for _, step := range requestSteps(repeatable) {
			for _, after := range [...]bool{false, true} {
				for _, fault := range requestFaults() {
					name := fmt.Sprintf("%s %s %s, %s", requestKind(repeatable), phase(after), step, fault.name)
					cells = append(cells, matrixCell{name, func() (string, []string) { return runRequestCell(repeatable, step, after, fault) }})
				}
			}
		}
	}
	runMatrix(t, cells)
}

func requestSteps(repeatable bool) []serve.Step {
	return slices.DeleteFunc(serve.Steps(), func(s serve.Step) bool {
		return repeatable && (s == serve.StepClaim || s == serve.StepCompletion)
	})
}

func requestKind(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "once"
}

func phase(after bool) string {
	if after {
		return "after"
	}
	return "before"
}

func runRequestCell(repeatable bool, step serve.Step, after bool, fault requestFault) (result string, violations []string) {
	c := &requestCell{step: step, after: after, fault: fault}
	site, err := startRequestSite(c.probe)
	if err != nil {
		return "", []string{err.Error()}
	}
	defer site.Stop()
	c.site = site
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := site.Publish(ctx); err != nil {
		return "", []string{err.Error()}
	}
	replies := c.sendCopies(repeatable)
	return describeReplies(replies), c.violations(replies, c.sendAfterFault())
}
