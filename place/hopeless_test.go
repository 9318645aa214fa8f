// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"maps"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rackstep.dev/job"
)

// Guards against tasks that fit nowhere, and wait, keeping the tasks behind them from starting beside free workers.
func TestTasksThatFitNowhereStopNoOthers(t *testing.T) {
	lastingStep := job.Step{Count: 1, Need: cpu(3000), Lasting: true, PerWorker: 1}
	for _, x := range [...]struct {
		name     string
		hopeless job.Step
		count    int
	}{
		{"a gang with too much CPU", job.Step{Count: 40, Need: cpu(500), Gang: true}, 1},
		{"a gang just above the capacity", job.Step{Count: 33, Need: cpu(500), Gang: true}, 1},
		{"a gang with too much memory", job.Step{Count: 41, Need: job.Need{MilliCPU: 10, MemoryMB: 1000}, Gang: true}, 1},
		{"a gang on too few workers", job.Step{Count: 5, Need: cpu(10), PerWorker: 1, Gang: true}, 1},
		{"several gangs", job.Step{Count: 40, Need: cpu(500), Gang: true}, 5},
		{"lasting steps beside lasting tasks", lastingStep, 8},
		{"tasks larger than what lasting tasks leave", job.Step{Count: 2, Need: cpu(3000)}, 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			var candidates []*Candidate
			for i := range 4 {
				r := candidateOf(fmt.Sprint("w", i), "r", 4000, 2500)
				r.HeldByLasting, r.Serving = cpu(1500), 1
				candidates = append(candidates, r)
			}
			var groups []*Group
			for i := range x.count {
				groups = append(groups, groupOf(fmt.Sprint("hopeless", i), x.hopeless))
			}
			groups = append(groups, groupOf("others", job.Step{Count: 8, Need: cpu(1000)}))
			quicktest.Assert(t, Tasks(groups, candidates, nil), quicktest.HasLen, 8)
		})
	}
}

// Guards against lasting tasks that wait for long finite ones keeping every worker of a pool to themselves.
func TestHalfOfTheWorkersAreNeverReserved(t *testing.T) {
	var candidates []*Candidate
	var groups []*Group
	for i := range 8 {
		candidates = append(candidates, candidateOf(fmt.Sprint("w", i), "r", 4000, 2000))
		groups = append(groups, groupOf(fmt.Sprint("lasting", i), job.Step{Count: 1, Need: cpu(3000), Lasting: true, PerWorker: 1}))
	}
	groups = append(groups, groupOf("others", job.Step{Count: 20, Need: cpu(1000)}))
	quicktest.Assert(t, Tasks(groups, candidates, nil), quicktest.HasLen, 8)
}

// drawCandidates draws workers that are partly taken by lasting and by other tasks.
func drawCandidates(r *rapid.T) []Candidate {
	var out []Candidate
	for i := range rapid.IntRange(1, 8).Draw(r, "candidates") {
		lasting := rapid.IntRange(0, 4000).Draw(r, "lasting")
		x := candidateOf(fmt.Sprint("w", i), "r", 4000, rapid.IntRange(0, 4000-lasting).Draw(r, "free"))
		x.Free.MemoryMB = rapid.IntRange(0, 10000).Draw(r, "memory")
		x.HeldByLasting = cpu(lasting)
		out = append(out, *x)
	}
	return out
}

// drawStep draws a step of any kind.
func drawStep(r *rapid.T) job.Step {
	return job.Step{
		Count: rapid.IntRange(1, 9).Draw(r, "count"), Need: job.Need{MilliCPU: rapid.IntRange(0, 4000).Draw(r, "cpu"), MemoryMB: rapid.IntRange(0, 4000).Draw(r, "MB")},
		Gang: rapid.Bool().Draw(r, "gang"), PerWorker: rapid.IntRange(0, 2).Draw(r, "most"), Lasting: rapid.Bool().Draw(r, "lasting"),
	}
}

// drawHopeless draws a step that no worker, or no number of workers, could run.
func drawHopeless(r *rapid.T) job.Step {
	return rapid.SampledFrom([]job.Step{
		{Count: 300, Need: cpu(500), Gang: true},
		{Count: 300, Need: job.Need{MilliCPU: 1, MemoryMB: 500}, Gang: true},
		{Count: 20, Need: cpu(1), PerWorker: 1, Gang: true},
		{Count: 2, Need: cpu(1), Label: "none", Gang: true},
		{Count: 2, Need: cpu(4001)},
		{Count: 2, Need: cpu(4001), Lasting: true},
		{Count: 2, Need: cpu(1), Label: "none"},
	}).Draw(r, "hopeless")
}

// placeSteps places the steps that are not skipped, in this order, on copies of the candidates.
func placeSteps(steps []job.Step, skip map[int]bool, from []Candidate) (choices map[string]string, groups []*Group, candidates []*Candidate) {
	for i := range steps {
		if !skip[i] {
			groups = append(groups, groupOf(fmt.Sprint(i), steps[i]))
		}
	}
	for _, x := range from {
		candidates = append(candidates, &x)
	}
	return placed(groups, candidates), groups, candidates
}

// Guards against any effect of steps that can never start on the placement of the others.
func TestPlacementIsTheSameWithoutHopelessSteps(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		candidates := drawCandidates(r)
		var steps []job.Step
		hopeless := make(map[int]bool)
		for i := range rapid.IntRange(1, 12).Draw(r, "steps") {
			if hopeless[i] = rapid.Bool().Draw(r, "never"); hopeless[i] {
				steps = append(steps, drawHopeless(r))
			} else {
				steps = append(steps, drawStep(r))
			}
		}
		all, _, _ := placeSteps(steps, nil, candidates)
		without, _, _ := placeSteps(steps, hopeless, candidates)
		if !maps.Equal(all, without) {
			r.Fatalf("placed %v, without the hopeless steps %v", all, without)
		}
	})
}

// Guards against a step that fits being left waiting: whatever waits before it, it may find no more than half of the
// workers reserved.
func TestWhatFitsStartsUnlessItsWorkerIsReserved(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		drawn := drawCandidates(r)
		var steps []job.Step
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			steps = append(steps, drawStep(r))
		}
		choices, groups, candidates := placeSteps(steps, nil, drawn)
		for _, g := range groups {
			if g.step().Gang || len(g.Tasks) == 0 {
				continue
			}
			if last := g.Tasks[len(g.Tasks)-1]; choices[last.Name()] != "" {
				continue
			}
			fits := 0
			for _, x := range candidates {
				fits += min(g.Fits(x), 1)
			}
			if most := max(len(candidates)/2, 1); fits > most {
				r.Fatalf("%+v waits and fits on %d of %d workers", *g.step(), fits, len(candidates))
			}
		}
	})
}
