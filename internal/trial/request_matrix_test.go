// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

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

// cell is one place of the matrix: a request, and a fault at one of its steps.
type cell struct {
	site   *Site
	load   Load
	step   serve.Step
	after  bool
	fault  requestFault
	armed  bool
	mu     sync.Mutex
	struck string // the entry where the fault struck
}

// requestFault is thrown once, at the entry where the step happens; it may block that step.
type requestFault struct {
	name  string
	throw func(c *cell, entry string)
}

// outage is how long a fault of the platform or the network lasts.
const outage = 20 * time.Second

func requestFaults() []requestFault {
	platform := func(f standin.Faults) func(*cell, string) {
		return func(c *cell, _ string) {
			c.site.Platform.SetFaults(f)
			time.AfterFunc(outage, func() { c.site.Platform.SetFaults(standin.Faults{}) })
		}
	}
	targets := func(f standin.TargetFaults) func(*cell, string) {
		return func(c *cell, _ string) {
			c.setTargets(f)
			time.AfterFunc(outage, func() { c.setTargets(standin.TargetFaults{}) })
		}
	}
	return []requestFault{
		{"none", func(*cell, string) {}},
		{"crash", func(c *cell, entry string) { c.site.CrashEntry(entry) }},
		{"planned-stop", func(c *cell, entry string) { go c.site.StopEntry(entry) }},
		{"pause", func(*cell, string) { time.Sleep(time.Minute) }},
		{"cut-off", func(c *cell, entry string) { c.cut(entry, c.site.cutFromOthers) }},
		{"isolated", func(c *cell, entry string) { c.cut(entry, c.site.Isolate) }},
		{"neighbours-cut", func(c *cell, _ string) {
			a, b := EntryName(1, 0), EntryName(1, 1)
			c.site.SetCut(a, b, true)
			time.AfterFunc(outage, func() { c.site.SetCut(a, b, false) })
		}},
		{"log-down", platform(standin.Faults{LogDown: true})},
		{"log-slow", platform(standin.Faults{LogDelay: 1500 * time.Millisecond})},
		{"log-answers-lost", platform(standin.Faults{LoseEvery: 1})},
		{"log-duplicates", platform(standin.Faults{TwiceEvery: 1})},
		{"list-stale", platform(standin.Faults{ListLag: outage})},
		{"targets-reset", targets(standin.TargetFaults{Reset: true})},
		{"targets-truncate", targets(standin.TargetFaults{Truncate: true})},
		{"targets-fail", targets(standin.TargetFaults{Fail: true})},
		{"targets-slow", targets(standin.TargetFaults{Delay: 7 * time.Second})},
		{"targets-down", func(c *cell, _ string) { c.setDown(true); time.AfterFunc(outage, func() { c.setDown(false) }) }},
		{"drain", func(c *cell, _ string) { go c.drain() }},
	}
}

func (c *cell) setTargets(f standin.TargetFaults) {
	for _, t := range c.site.Targets {
		t.SetFaults(f)
	}
}

func (c *cell) setDown(down bool) {
	for id := range c.site.Targets {
		c.site.Platform.SetDown(id, down)
	}
}

func (c *cell) cut(entry string, how func(string, bool)) {
	centre := c.site.centreOf(entry)
	how(centre, true)
	time.AfterFunc(outage, func() { how(centre, false) })
}

// drain maintains every instance while the request is on its way.
func (c *cell) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), outage)
	defer cancel()
	p, err := c.site.Operator(OperatorToken).Plan(ctx, fleet.Intent{Kind: fleet.IntentMaintain})
	if err == nil {
		_, _ = c.site.Operator(OperatorToken).Order(ctx, p.ID, fleet.OrderConfirm) // the drain is then no fault
	}
}

// probe throws the fault the first time that the armed step is passed.
func (c *cell) probe(entry string, step serve.Step, after bool) {
	c.mu.Lock()
	hit := c.armed && step == c.step && after == c.after
	if hit {
		c.armed = false
		c.struck = entry
	}
	c.mu.Unlock()
	if hit {
		c.fault.throw(c, entry)
	}
}

// requestSite has the parts that every step needs: a request that enters in one data centre and runs in the other.
func requestSite(probe func(string, serve.Step, bool)) (*Site, error) {
	spec := smallest()
	spec.Workers = 0
	spec.Network = new(memnet.Network)
	spec.Probe = probe
	return Start(spec, nil)
}

// request returns the matrix's request; it may run in the second data centre only.
func (c *cell) request(repeatable bool, mark string) Request {
	r := c.load.request(ServiceName(0), mark, false)
	if !repeatable {
		r = c.load.single(ServiceName(0), mark, time.Now().Add(2*time.Minute))
	}
	r.Header.Set(serve.HeaderDataCentre, Centre(1))
	return r
}

// play sends the request, repeats it as a caller would, and returns what was told.
func (c *cell) play(repeatable bool) []Told {
	c.load = Load{Site: c.site, Work: 30 * time.Millisecond}
	r := c.request(repeatable, "m")
	first, second := EntryName(0, 0), EntryName(0, 1)
	c.armed = true
	told := []Told{c.load.Send(c.site.CallerOf(first), r)}
	for _, wait := range [...]time.Duration{time.Second, outage} {
		time.Sleep(wait)
		told = append(told, c.load.Send(c.site.CallerOf(second), r))
	}
	return told
}

// heals says what a new request is told once the fault is over.
func (c *cell) heals() Told {
	time.Sleep(3 * outage)
	callers := c.site.Callers()
	slices.Sort(callers)
	if len(callers) == 0 {
		return Told{Lost: true}
	}
	return c.load.Send(callers[0], c.request(true, "healed"))
}

// wrong lists the promises that the cell shows broken.
func (c *cell) wrong(told []Told, healed Told) []string {
	v := c.site.Judge(told)
	var wrong []string
	for _, b := range v.Broken() {
		// An entry that crashed can't answer, and a target that was down may get a request that was under way.
		if strings.Contains(b, "without an answer") && (c.fault.name == "crash" || c.fault.name == "targets-truncate") {
			continue
		}
		wrong = append(wrong, b)
	}
	if !c.noLog() {
		wrong = append(wrong, denied(told)...)
	}
	if c.struck == "" {
		wrong = append(wrong, "the step was never reached")
	}
	if healed.Outcome != serve.OutcomeWhole || healed.Wrong {
		wrong = append(wrong, fmt.Sprintf("after the fault a new request was told %q (%s)", healed.Outcome, healed.Reason))
	}
	return wrong
}

// noLog says that the fault keeps an entry from reading of earlier copies.
func (c *cell) noLog() bool { return c.fault.name == "isolated" || c.fault.name == "log-down" }

// denied finds a copy that was told "not run" after an earlier copy of the same request had run.
func denied(told []Told) []string {
	ran := false
	for _, t := range told {
		if ran && !t.Repeatable && t.Outcome == serve.OutcomeNotRun {
			return []string{"a copy was told 'not run' after an earlier copy had run"}
		}
		ran = ran || t.Outcome == serve.OutcomeWhole || t.Reason == serve.ReasonKeyCompleted
	}
	return nil
}

func outcomes(told []Told) string {
	var out []string
	for _, t := range told {
		switch {
		case t.Lost:
			out = append(out, "lost")
		case t.Outcome == serve.OutcomeWhole:
			out = append(out, "whole")
		default:
			out = append(out, fmt.Sprintf("%s/%s", t.Outcome, t.Reason))
		}
	}
	return strings.Join(out, ", ")
}

// TestRequestFaultMatrix throws every fault before and after every step of a request.
func TestRequestFaultMatrix(t *testing.T) {
	var cells []matrixCell
	for _, repeatable := range [...]bool{false, true} {
		for _, step := range stepsOf(repeatable) {
			for _, after := range [...]bool{false, true} {
				for _, fault := range requestFaults() {
					name := fmt.Sprintf("%s %s %s, %s", kind(repeatable), when(after), step, fault.name)
					cells = append(cells, matrixCell{name, func() (string, []string) { return runCell(repeatable, step, after, fault) }})
				}
			}
		}
	}
	runMatrix(t, cells)
}

func stepsOf(repeatable bool) []serve.Step {
	return slices.DeleteFunc(serve.Steps(), func(s serve.Step) bool {
		return repeatable && (s == serve.StepClaim || s == serve.StepCompletion)
	})
}

func kind(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "once"
}

func when(after bool) string {
	if after {
		return "after"
	}
	return "before"
}

func runCell(repeatable bool, step serve.Step, after bool, fault requestFault) (result string, wrong []string) {
	cl := &cell{step: step, after: after, fault: fault}
	site, err := requestSite(cl.probe)
	if err != nil {
		return "", []string{err.Error()}
	}
	defer site.Stop()
	cl.site = site
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := site.Publish(ctx); err != nil {
		return "", []string{err.Error()}
	}
	told := cl.play(repeatable)
	return outcomes(told), cl.wrong(told, cl.heals())
}
