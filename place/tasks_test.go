// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

func candidateOf(incarnation, rack string, milliCPU, free int) *Candidate {
	w := &work.Worker{Incarnation: incarnation, Labels: []string{"a", rack}, Rack: rack, Capacity: job.Need{MilliCPU: milliCPU, MemoryMB: 10000}}
	return &Candidate{Worker: w, Free: job.Need{MilliCPU: free, MemoryMB: 10000}}
}

func groupOf(id string, s job.Step) *Group {
	j := job.New(&job.Spec{ID: id, Steps: []job.Step{s}}, time.Time{})
	g := &Group{Job: j, Lasting: s.Lasting, OnWorker: map[string]int{}, Racks: map[string]int{}, Outlook: Outlook{Slack: time.Second, Expected: 1}}
	for i := range j.Tasks {
		g.Tasks = append(g.Tasks, &j.Tasks[i])
	}
	return g
}

// placed returns the incarnation of the worker that each task was assigned to.
func placed(groups []*Group, candidates []*Candidate) map[string]string {
	out := make(map[string]string)
	for _, x := range Tasks(groups, candidates, nil) {
		out[x.Task.Name()] = x.Candidate.Worker.Incarnation
	}
	return out
}

func cpu(n int) job.Need { return job.Need{MilliCPU: n} }

func TestChoices(t *testing.T) {
	two := func() []*Candidate {
		return []*Candidate{candidateOf("w1", "r1", 4000, 4000), candidateOf("w2", "r2", 4000, 2000)}
	}
	for _, test := range [...]struct {
		name       string
		step       job.Step
		candidates []*Candidate
		want       string
	}{
		{"the fullest room with space comes first", job.Step{Count: 2, Need: cpu(1000)}, two(), "map[j.0.0.0:w2 j.0.0.1:w2]"},
		{"near its data goes before that", job.Step{Count: 1, Need: cpu(1000), Rack: "r1"}, two(), "map[j.0.0.0:w1]"},
		{"a label that nobody has", job.Step{Count: 1, Need: cpu(1000), Label: "z"}, two(), "map[]"},
		{"at most one on each worker", job.Step{Count: 3, Need: cpu(100), PerWorker: 1}, two(), "map[j.0.0.0:w2 j.0.0.1:w1]"},
		{"what fills takes no processor", job.Step{Count: 1, Need: cpu(9000), Fills: true, Lasting: true}, two()[1:], "map[j.0.0.0:w2]"},
		{"a gang that fits goes together", job.Step{Count: 6, Need: cpu(1000), Gang: true}, two(), "map[j.0.0.0:w2 j.0.0.1:w2 j.0.0.2:w1 j.0.0.3:w1 j.0.0.4:w1 j.0.0.5:w1]"},
		{"a gang that does not fit stays", job.Step{Count: 7, Need: cpu(1000), Gang: true}, two(), "map[]"},
		{"lasting tasks keep together", job.Step{Count: 2, Need: cpu(100), Lasting: true}, two(), "map[j.0.0.0:w2 j.0.0.1:w2]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			quicktest.Assert(t, fmt.Sprint(placed([]*Group{groupOf("j", test.step)}, test.candidates)), quicktest.Equals, test.want)
		})
	}
}

func TestALargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	c := quicktest.New(t)
	large, small := groupOf("l", job.Step{Count: 1, Need: cpu(3000)}), groupOf("s", job.Step{Count: 9, Need: cpu(1000)})
	got := placed([]*Group{large, small}, []*Candidate{candidateOf("w1", "r1", 4000, 2000), candidateOf("w2", "r1", 4000, 1000)})
	c.Assert(fmt.Sprint(got), quicktest.Equals, "map[s.0.0.0:w2]", quicktest.Commentf("the emptiest worker must be reserved for the large task"))
}

func TestTicketsDecideWhoMayRunAStep(t *testing.T) {
	c := quicktest.New(t)
	g := groupOf("j", job.Step{Count: 1, Need: cpu(1000)})
	g.Tickets = map[string]string{"w1": "ticket"}
	got := Tasks([]*Group{g}, []*Candidate{candidateOf("w1", "r1", 4000, 4000), candidateOf("w2", "r1", 4000, 2000)}, nil)
	c.Assert(got, quicktest.HasLen, 1)
	c.Assert(got[0].Ticket, quicktest.Equals, "ticket")
}

func TestOrder(t *testing.T) {
	c := quicktest.New(t)
	at := func(id string, change func(g *Group)) *Group {
		g := groupOf(id, job.Step{Count: 1})
		change(g)
		return g
	}
	now := time.Unix(100, 0)
	expects := func(left time.Duration, density float64) Outlook {
		return Estimate{From: now.Add(-4 * time.Second), Target: 4*time.Second + left, Remaining: 0, Density: density}.At(now)
	}
	groups := []*Group{
		at("late", func(g *Group) { g.Outlook = expects(-3*time.Second, 5) }),
		at("later", func(g *Group) { g.Outlook = expects(-3*time.Second, 5); g.Since = time.Unix(9, 0) }),
		at("dense", func(g *Group) { g.Outlook = expects(time.Second, 5) }),
		at("thin", func(g *Group) { g.Outlook = expects(time.Second, 2) }),
		at("minor", func(g *Group) { g.Priority = 1; g.Outlook = expects(time.Second, 99) }),
		at("lasting", func(g *Group) { g.Lasting = true; g.Priority = 3 }),
	}
	Order(groups)
	var ids []string
	for _, g := range groups {
		ids = append(ids, g.Job.Spec.ID)
	}
	c.Assert(ids, quicktest.DeepEquals, []string{"lasting", "dense", "thin", "late", "later", "minor"})
}

// Places random steps on random workers and checks that no worker is charged for more than it has.
func TestNoWorkerIsOvercommitted(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var groups []*Group
		for i := range rapid.IntRange(1, 8).Draw(r, "groups") {
			groups = append(groups, groupOf(fmt.Sprint(i), job.Step{
				Count: rapid.IntRange(1, 9).Draw(r, "count"), Need: cpu(rapid.IntRange(0, 3000).Draw(r, "cpu")),
				Gang: rapid.Bool().Draw(r, "gang"), PerWorker: rapid.IntRange(0, 2).Draw(r, "most"), Lasting: rapid.Bool().Draw(r, "lasting"),
			}))
		}
		var candidates []*Candidate
		for i := range rapid.IntRange(0, 5).Draw(r, "candidates") {
			candidates = append(candidates, candidateOf(fmt.Sprint("w", i), "r", 4000, rapid.IntRange(0, 4000).Draw(r, "free")))
		}
		Order(groups)
		count := make(map[string]int)
		for _, x := range Tasks(groups, candidates, nil) {
			count[fmt.Sprint(x.Task.Job.Spec.ID, x.Candidate.Worker.Incarnation)]++
			if most := x.Task.Spec().PerWorker; most > 0 && count[fmt.Sprint(x.Task.Job.Spec.ID, x.Candidate.Worker.Incarnation)] > most {
				r.Fatal("a worker has more tasks of a step than the step allows")
			}
		}
		for _, candidate := range candidates {
			if candidate.Free.MilliCPU < 0 || candidate.Free.MemoryMB < 0 {
				r.Fatalf("free capacity is negative: %+v", candidate.Free)
			}
		}
	})
}

// Places random steps with the index and by a scan of all candidates for each task. The free capacity in the end
// must be the same; which of several equal workers is chosen may differ.
func TestIndexMatchesAScanOfAllCandidates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{4000, 16000}).Draw(r, "size")
		var free []job.Need
		for range rapid.IntRange(0, 30).Draw(r, "candidates") {
			free = append(free, job.Need{MilliCPU: rapid.IntRange(0, size).Draw(r, "free"), MemoryMB: 4000})
		}
		var steps []job.Step
		for range rapid.IntRange(1, 10).Draw(r, "groups") {
			steps = append(steps, job.Step{
				Count: rapid.IntRange(1, 9).Draw(r, "count"), Gang: rapid.Bool().Draw(r, "gang"),
				Need: job.Need{MilliCPU: rapid.IntRange(0, 5000).Draw(r, "cpu")},
			})
		}
		place := func(label string) (int, []float64) {
			var candidates []*Candidate
			for i := range free {
				x := candidateOf(fmt.Sprint("w", i), "r", size, free[i].MilliCPU)
				x.Free.MemoryMB, x.Worker.Capacity.MemoryMB = free[i].MemoryMB, 4000
				x.Worker.Labels = append(x.Worker.Labels, "any")
				candidates = append(candidates, x)
			}
			var groups []*Group
			for i, s := range steps {
				s.Rack = label // no worker is in this rack: it forces a scan of all candidates and favours none
				groups = append(groups, groupOf(fmt.Sprintf("%02d", i), s))
			}
			Order(groups)
			n := len(Tasks(groups, candidates, nil))
			var left []float64
			for _, x := range candidates {
				left = append(left, x.freePart())
			}
			slices.Sort(left)
			return n, left
		}
		n, left := place("")
		wantN, want := place("none")
		if n != wantN || !slices.Equal(left, want) {
			r.Fatalf("placed %d, free %v; scan of all candidates: placed %d, free %v", n, left, wantN, want)
		}
	})
}

// Compares the index with a scan of all candidates for one task on workers of several sizes.
func TestIndexFindsTheFullestCandidate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var candidates []*Candidate
		for i := range rapid.IntRange(0, 30).Draw(r, "candidates") {
			size := rapid.SampledFrom([]int{4000, 8000, 16000}).Draw(r, "size")
			x := candidateOf(fmt.Sprint("w", i), "r", size, rapid.IntRange(0, size).Draw(r, "free"))
			x.Free.MemoryMB = rapid.IntRange(0, 4000).Draw(r, "memory")
			candidates = append(candidates, x)
		}
		step := job.Step{Count: 1, Need: job.Need{MilliCPU: rapid.IntRange(0, 5000).Draw(r, "cpu"), MemoryMB: rapid.IntRange(0, 4000).Draw(r, "MB")}}
		g := groupOf("a", step)
		g.Tasks[0].Avoid = rapid.SampledFrom([]string{"", "w0", "w1"}).Draw(r, "avoid")
		got, want := newCapacityIndex(candidates).bestFit(charge(&step), g.Tasks[0].Avoid), bestCandidate(g, g.Tasks[0], candidates)
		switch {
		case (got == nil) != (want == nil):
			r.Fatalf("found %v, scan of all candidates found %v", got, want)
		case got != nil && score(g, g.Tasks[0], &step, got) != score(g, g.Tasks[0], &step, want):
			r.Fatalf("found %v, scan of all candidates found %v", got, want)
		}
	})
}

func TestTheWorkerOnWhichATaskFailedIsItsLastChoice(t *testing.T) {
	c := quicktest.New(t)
	g := groupOf("a", job.Step{Count: 1, Need: cpu(1000)})
	g.Tasks[0].Avoid = "full"
	candidates := []*Candidate{candidateOf("full", "r", 4000, 1000), candidateOf("empty", "r", 4000, 4000)}
	c.Assert(Tasks([]*Group{g}, candidates, nil)[0].Candidate.Worker.Incarnation, quicktest.Equals, "empty")
	g = groupOf("a", job.Step{Count: 1, Need: cpu(1000)})
	g.Tasks[0].Avoid = "full"
	c.Assert(Tasks([]*Group{g}, candidates[:1], nil)[0].Candidate.Worker.Incarnation, quicktest.Equals, "full")
}

// benchTasks measures the placement of a backlog of jobs on a pool.
func benchTasks(b *testing.B, workers, jobs int) {
	var groups []*Group
	for i := range jobs {
		groups = append(groups, groupOf(fmt.Sprintf("%016x", i), job.Step{Count: 8, Need: job.Need{MilliCPU: 500 + i%7*300, MemoryMB: 900}}))
	}
	b.ReportAllocs()
	for b.Loop() {
		candidates := make([]*Candidate, workers)
		for i := range candidates {
			candidates[i] = candidateOf(fmt.Sprint("w", i), "r", 16000, 16000)
			candidates[i].Free.MemoryMB = 32000
		}
		Order(groups)
		Tasks(groups, candidates, nil)
	}
}

func BenchmarkTasksToday(b *testing.B)    { benchTasks(b, 12, 100) }
func BenchmarkTasksGrown(b *testing.B)    { benchTasks(b, 85, 400) }
func BenchmarkTasksTwoYears(b *testing.B) { benchTasks(b, 780, 1000) }

// Checks that short tasks fill the warm workers first, and that what does not fit there starts on cold workers,
// which are slow since their start, instead of waiting.
func TestColdWorkersGetWhatFitsNowhereElse(t *testing.T) {
	for _, x := range [...]struct {
		name       string
		step       job.Step
		warm, cold int
	}{
		{"what fits on warm ones", job.Step{Count: 8, Need: cpu(1000)}, 8, 0},
		{"more than that", job.Step{Count: 11, Need: cpu(1000)}, 8, 3},
		{"at most one on each worker", job.Step{Count: 3, Need: cpu(1000), PerWorker: 1}, 2, 1},
		{"lasting ones", job.Step{Count: 2, Need: cpu(1000), Lasting: true, PerWorker: 1}, 2, 0},
		{"near its data goes before", job.Step{Count: 1, Need: cpu(1000), Rack: "r3"}, 0, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			candidates := []*Candidate{candidateOf("warm1", "r1", 4000, 4000), candidateOf("warm2", "r2", 4000, 4000), candidateOf("cold1", "r3", 4000, 2000), candidateOf("cold2", "r4", 4000, 4000)}
			candidates[2].Cold, candidates[3].Cold = true, true
			warm, cold := 0, 0
			for _, incarnation := range placed([]*Group{groupOf("j", x.step)}, candidates) {
				if strings.HasPrefix(incarnation, "cold") {
					cold++
				} else {
					warm++
				}
			}
			quicktest.Assert(t, []int{warm, cold}, quicktest.DeepEquals, []int{x.warm, x.cold})
		})
	}
}
