// SPDX-License-Identifier: MIT

package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/place"
	"rackstep.dev/work"
)

// candidateWithFree returns a candidate with a capacity of four tasks of which some are free.
func candidateWithFree(name string, free int) *place.Room {
	return &place.Room{Worker: &work.Worker{Life: name, Room: job.Need{MilliCPU: 4000, MemoryMB: 400}}, Free: job.Need{MilliCPU: 1000 * free, MemoryMB: 100 * free}}
}

// suspects returns a group of tasks that are suspected of having crashed a worker, each as one of the given number
// of suspects.
func suspects(count, among int) *place.Group {
	j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: count, Need: job.Need{MilliCPU: 1000, MemoryMB: 100}}}}, time.Unix(100, 0))
	g := &place.Group{Job: j}
	for i := range j.Tasks {
		j.Lose(&j.Tasks[i], job.LostRun{Run: 1, Suspects: among})
		g.Tasks = append(g.Tasks, &j.Tasks[i])
	}
	return g
}

func TestSuspectsStartApartWhereLeastIsLost(t *testing.T) {
	lasting := candidateWithFree("lasting", 4)
	lasting.Serving = 1
	fresh := candidateWithFree("fresh", 4)
	fresh.Fresh = true
	for _, x := range [...]struct {
		name   string
		rooms  []*place.Room
		group  *place.Group
		trials place.Trials
		want   []string
		left   int
	}{
		{"the emptiest", []*place.Room{candidateWithFree("a", 1), candidateWithFree("b", 3)}, suspects(1, 1), place.Trials{Most: 2, Risk: 1}, []string{"b"}, 1},
		{"never beside what lasts while there is another", []*place.Room{lasting, candidateWithFree("a", 1)}, suspects(1, 1), place.Trials{Most: 2, Risk: 1}, []string{"a"}, 1},
		{"one waits rather than start beside what lasts", []*place.Room{lasting, candidateWithFree("a", 0)}, suspects(1, 1), place.Trials{Most: 2, Risk: 1}, nil, 1},
		{"beside what lasts where there is no other", []*place.Room{lasting}, suspects(1, 1), place.Trials{Most: 2, Risk: 1}, []string{"lasting"}, 0},
		{"one waits until what began last is not in question", []*place.Room{fresh}, suspects(1, 1), place.Trials{Most: 2, Risk: 1}, nil, 0},
		{"one a worker", []*place.Room{candidateWithFree("a", 4), candidateWithFree("b", 3)}, suspects(3, 10), place.Trials{Most: 3, Risk: 1}, []string{"a", "b"}, 0},
		{"as many as may", []*place.Room{candidateWithFree("a", 4), candidateWithFree("b", 3), candidateWithFree("c", 2)}, suspects(3, 10), place.Trials{Most: 2, Risk: 1}, []string{"a", "b"}, 1},
		{"no more risk than may be", []*place.Room{candidateWithFree("a", 4), candidateWithFree("b", 3), candidateWithFree("c", 2)}, suspects(3, 2), place.Trials{Most: 3, Risk: 1}, []string{"a", "b"}, 1},
		{"one may always start", []*place.Room{candidateWithFree("a", 4)}, suspects(1, 1), place.Trials{Most: 1, Risk: 0.2}, []string{"a"}, 0},
		{"none while another goes on with all the risk", []*place.Room{candidateWithFree("a", 4)}, suspects(1, 1), place.Trials{Most: 1, Risk: 0.2, Going: true}, nil, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			choices, left := place.Apart([]*place.Group{x.group}, x.rooms, x.trials)
			var got []string
			for _, y := range choices {
				quicktest.Assert(t, y.Apart, quicktest.IsTrue)
				got = append(got, y.Room.Worker.Life)
			}
			quicktest.Assert(t, got, quicktest.DeepEquals, x.want)
			quicktest.Assert(t, len(left), quicktest.Equals, x.left)
		})
	}
}

func TestOthersStartAsBeforeBesideSuspectsThatWait(t *testing.T) {
	c := quicktest.New(t)
	g := suspects(2, 2)
	g.Tasks[1].Suspect = false
	choices := place.Tasks([]*place.Group{g}, []*place.Room{candidateWithFree("a", 4)}, nil)
	c.Assert(choices, quicktest.HasLen, 1)
	c.Assert(fmt.Sprint(choices[0].Task.Index), quicktest.Equals, "1")
}
