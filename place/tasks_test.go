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

func roomOf(life, rack string, milliCPU, free int) *Candidate {
	w := &work.Worker{Life: life, Labels: []string{"a", rack}, Rack: rack, Capacity: job.Need{MilliCPU: milliCPU, MemoryMB: 10000}}
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

// placed returns which life each task got.
func placed(groups []*Group, rooms []*Candidate) map[string]string {
	out := make(map[string]string)
	for _, x := range Tasks(groups, rooms, nil) {
		out[x.Task.Name()] = x.Candidate.Worker.Life
	}
	return out
}

func cpu(n int) job.Need { return job.Need{MilliCPU: n} }

func TestChoices(t *testing.T) {
	two := func() []*Candidate { return []*Candidate{roomOf("w1", "r1", 4000, 4000), roomOf("w2", "r2", 4000, 2000)} }
	for _, test := range [...]struct {
		name  string
		step  job.Step
		rooms []*Candidate
		want  string
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
			quicktest.Assert(t, fmt.Sprint(placed([]*Group{groupOf("j", test.step)}, test.rooms)), quicktest.Equals, test.want)
		})
	}
}

func TestALargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	c := quicktest.New(t)
	large, small := groupOf("l", job.Step{Count: 1, Need: cpu(3000)}), groupOf("s", job.Step{Count: 9, Need: cpu(1000)})
	got := placed([]*Group{large, small}, []*Candidate{roomOf("w1", "r1", 4000, 2000), roomOf("w2", "r1", 4000, 1000)})
	c.Assert(fmt.Sprint(got), quicktest.Equals, "map[s.0.0.0:w2]", quicktest.Commentf("the emptiest room is kept for the large task"))
}

func TestTicketsDecideWhoMayRunAStep(t *testing.T) {
	c := quicktest.New(t)
	g := groupOf("j", job.Step{Count: 1, Need: cpu(1000)})
	g.Tickets = map[string]string{"w1": "ticket"}
	got := Tasks([]*Group{g}, []*Candidate{roomOf("w1", "r1", 4000, 4000), roomOf("w2", "r1", 4000, 2000)}, nil)
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

// TestNoRoomIsEverOverfilled places random steps on random rooms.
func TestNoRoomIsEverOverfilled(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var groups []*Group
		for i := range rapid.IntRange(1, 8).Draw(r, "groups") {
			groups = append(groups, groupOf(fmt.Sprint(i), job.Step{
				Count: rapid.IntRange(1, 9).Draw(r, "count"), Need: cpu(rapid.IntRange(0, 3000).Draw(r, "cpu")),
				Gang: rapid.Bool().Draw(r, "gang"), PerWorker: rapid.IntRange(0, 2).Draw(r, "most"), Lasting: rapid.Bool().Draw(r, "lasting"),
			}))
		}
		var rooms []*Candidate
		for i := range rapid.IntRange(0, 5).Draw(r, "rooms") {
			rooms = append(rooms, roomOf(fmt.Sprint("w", i), "r", 4000, rapid.IntRange(0, 4000).Draw(r, "free")))
		}
		Order(groups)
		count := make(map[string]int)
		for _, x := range Tasks(groups, rooms, nil) {
			count[fmt.Sprint(x.Task.Job.Spec.ID, x.Candidate.Worker.Life)]++
			if most := x.Task.Spec().PerWorker; most > 0 && count[fmt.Sprint(x.Task.Job.Spec.ID, x.Candidate.Worker.Life)] > most {
				r.Fatal("more tasks of a step on a worker than it allows")
			}
		}
		for _, room := range rooms {
			if room.Free.MilliCPU < 0 || room.Free.MemoryMB < 0 {
				r.Fatalf("room overfilled: %+v", room.Free)
			}
		}
	})
}

// TestShelvesFindWhatLookingAtAllRoomsFinds places random steps by the index and by looking at every room for each task: what is
// free in the end is the same, whichever of equal rooms was taken.
func TestShelvesFindWhatLookingAtAllRoomsFinds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.SampledFrom([]int{4000, 16000}).Draw(r, "size")
		var free []job.Need
		for range rapid.IntRange(0, 30).Draw(r, "rooms") {
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
			var rooms []*Candidate
			for i := range free {
				x := roomOf(fmt.Sprint("w", i), "r", size, free[i].MilliCPU)
				x.Free.MemoryMB, x.Worker.Capacity.MemoryMB = free[i].MemoryMB, 4000
				x.Worker.Labels = append(x.Worker.Labels, "any")
				rooms = append(rooms, x)
			}
			var groups []*Group
			for i, s := range steps {
				s.Rack = label // a rack that none has: every room is looked at, and none is nearer
				groups = append(groups, groupOf(fmt.Sprintf("%02d", i), s))
			}
			Order(groups)
			n := len(Tasks(groups, rooms, nil))
			var left []float64
			for _, x := range rooms {
				left = append(left, x.freePart())
			}
			slices.Sort(left)
			return n, left
		}
		n, left := place("")
		wantN, want := place("none")
		if n != wantN || !slices.Equal(left, want) {
			r.Fatalf("%d placed, %v left; by looking at all rooms %d, %v", n, left, wantN, want)
		}
	})
}

// TestTheFullestRoomWithSpaceIsFound asks for one room among those of several sizes.
func TestTheFullestRoomWithSpaceIsFound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var rooms []*Candidate
		for i := range rapid.IntRange(0, 30).Draw(r, "rooms") {
			size := rapid.SampledFrom([]int{4000, 8000, 16000}).Draw(r, "size")
			x := roomOf(fmt.Sprint("w", i), "r", size, rapid.IntRange(0, size).Draw(r, "free"))
			x.Free.MemoryMB = rapid.IntRange(0, 4000).Draw(r, "memory")
			rooms = append(rooms, x)
		}
		step := job.Step{Count: 1, Need: job.Need{MilliCPU: rapid.IntRange(0, 5000).Draw(r, "cpu"), MemoryMB: rapid.IntRange(0, 4000).Draw(r, "MB")}}
		g := groupOf("a", step)
		g.Tasks[0].Avoid = rapid.SampledFrom([]string{"", "w0", "w1"}).Draw(r, "avoid")
		got, want := newShelves(rooms).fullest(charge(&step), g.Tasks[0].Avoid), choose(g, g.Tasks[0], rooms)
		switch {
		case (got == nil) != (want == nil):
			r.Fatalf("found %v, by looking at all rooms %v", got, want)
		case got != nil && score(g, g.Tasks[0], &step, got) != score(g, g.Tasks[0], &step, want):
			r.Fatalf("found %v, by looking at all rooms %v", got, want)
		}
	})
}

func TestTheWorkerOnWhichATaskFailedIsItsLastChoice(t *testing.T) {
	c := quicktest.New(t)
	g := groupOf("a", job.Step{Count: 1, Need: cpu(1000)})
	g.Tasks[0].Avoid = "full"
	rooms := []*Candidate{roomOf("full", "r", 4000, 1000), roomOf("empty", "r", 4000, 4000)}
	c.Assert(Tasks([]*Group{g}, rooms, nil)[0].Candidate.Worker.Life, quicktest.Equals, "empty")
	g = groupOf("a", job.Step{Count: 1, Need: cpu(1000)})
	g.Tasks[0].Avoid = "full"
	c.Assert(Tasks([]*Group{g}, rooms[:1], nil)[0].Candidate.Worker.Life, quicktest.Equals, "full")
}

// benchTasks places a backlog on a pool; run with -bench to see the cost of one decision.
func benchTasks(b *testing.B, workers, jobs int) {
	var groups []*Group
	for i := range jobs {
		groups = append(groups, groupOf(fmt.Sprintf("%016x", i), job.Step{Count: 8, Need: job.Need{MilliCPU: 500 + i%7*300, MemoryMB: 900}}))
	}
	b.ReportAllocs()
	for b.Loop() {
		rooms := make([]*Candidate, workers)
		for i := range rooms {
			rooms[i] = roomOf(fmt.Sprint("w", i), "r", 16000, 16000)
			rooms[i].Free.MemoryMB = 32000
		}
		Order(groups)
		Tasks(groups, rooms, nil)
	}
}

func BenchmarkTasksToday(b *testing.B)    { benchTasks(b, 12, 100) }
func BenchmarkTasksGrown(b *testing.B)    { benchTasks(b, 85, 400) }
func BenchmarkTasksTwoYears(b *testing.B) { benchTasks(b, 780, 1000) }

// TestColdWorkersGetWhatNoOtherHasRoomFor has a turn of short tasks on workers of which half are slow since their start: the warm ones fill first, and
// what they have no room for starts on cold ones instead of waiting.
func TestColdWorkersGetWhatNoOtherHasRoomFor(t *testing.T) {
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
			rooms := []*Candidate{roomOf("warm1", "r1", 4000, 4000), roomOf("warm2", "r2", 4000, 4000), roomOf("cold1", "r3", 4000, 2000), roomOf("cold2", "r4", 4000, 4000)}
			rooms[2].Cold, rooms[3].Cold = true, true
			warm, cold := 0, 0
			for _, life := range placed([]*Group{groupOf("j", x.step)}, rooms) {
				if strings.HasPrefix(life, "cold") {
					cold++
				} else {
					warm++
				}
			}
			quicktest.Assert(t, []int{warm, cold}, quicktest.DeepEquals, []int{x.warm, x.cold})
		})
	}
}
