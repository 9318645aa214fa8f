// SPDX-License-Identifier: MIT

//go:build !race

package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/job"
)

// platformCalls are the kinds of calls that the platform serves; the tests inject every fault into each of them.
var platformCalls = platformtest.Calls()

var faultCases = [...]struct {
	name  string
	fault platformtest.Fault
}{
	{"refused", platformtest.Refuse}, {"silent", platformtest.Ignore}, {"done without an answer", platformtest.DropReply},
	{"done late without an answer", platformtest.Delay},
}

// workload submits short jobs of two steps and records the responses.
type workload struct {
	d *deployment
	// accepted are the IDs of jobs that got status 200, refused those that got 503.
	accepted, refused []string
	// submitted counts the jobs and determines the next ID.
	submitted int
}

func (w *workload) submit(node int) {
	w.submitted++
	id := fmt.Sprintf("%016x", w.submitted)
	switch w.d.submit(node, id, step{Count: 2, Cpu: 500, MemMb: 100, EstimateMs: 1000}, step{Count: 1, Cpu: 500, MemMb: 100, DependsOn: []int{0}}) {
	case 200:
		w.accepted = append(w.accepted, id)
	case 503:
		w.refused = append(w.refused, id)
	}
}

// awaitAll waits until every accepted job has ended, and checks that no refused job is known and that the history of the workers'
// runs violates no promise.
func (w *workload) awaitAll(node int) {
	w.d.c.Helper()
	for _, id := range w.accepted {
		w.awaitEnd(node, id)
	}
	for _, id := range w.refused {
		status, body := w.d.call(node, "GET", id, nil)
		w.d.c.Assert(status, quicktest.Equals, 410, quicktest.Commentf("refused job %s: %s", id, body))
	}
	w.d.checkHistory()
}

// awaitEnd waits until the job has succeeded, or has failed after as many workers crashed while running it as make it fail.
func (w *workload) awaitEnd(node int, id string) {
	w.d.c.Helper()
	state := ""
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, state = w.d.call(node, http.MethodGet, id, nil)
		if state == `{"State":"succeeded"}` || (state == `{"State":"failed"}` && w.d.platform.MaxWorkersLost(id) >= job.LossLimitConclusive) {
			return
		}
	}
	w.d.c.Fatalf("job %s: state %s after 90 s, want succeeded", id, state)
}

// Each case injects one fault into two thirds of the calls of one kind for four seconds, during which the leader stops. No accepted
// job may be lost or run twice, and no refused job may run.
func TestEveryCallHarmedInEveryWay(t *testing.T) {
	for _, call := range platformCalls {
		for _, fc := range faultCases {
			t.Run(call[1:]+" "+fc.name, func(t *testing.T) {
				withFakeTime(t, func(c *quicktest.C) {
					d := deploy(c, 3, 4, nil)
					w := &workload{d: d}
					for i := range 4 {
						w.submit(i % 3)
					}
					d.platform.RequestWave(1, []string{"m0", "m1"}, 1)
					n := 0
					d.platform.SetFaults(func(_, path string) platformtest.Fault {
						n++
						if path == call && n%3 != 0 { // a third of the calls succeeds, so that calls are carried out in another order
							return fc.fault
						}
						return platformtest.None
					})
					time.Sleep(1500 * time.Millisecond)
					stopped := d.leader()
					d.nodes[stopped].cancel()
					<-d.nodes[stopped].ended
					for i := range 2 {
						w.submit((stopped + 1 + i) % 3)
					}
					time.Sleep(2500 * time.Millisecond)
					d.platform.SetFaults(nil)
					w.submit((stopped + 1) % 3)
					w.awaitAll((stopped + 2) % 3)
				})
			})
		}
	}
}

// randomRuns is the number of random histories, each with a fixed seed of its own; randomSteps is the number of steps of each.
const (
	randomRuns  = 30
	randomSteps = 25
)

// Random submissions, restarts, faults, lost store history and crashes of machines must not lose, duplicate or wrongly run a job,
// which is checked against the history of the workers' runs.
func TestRandomTroubleKeepsEveryPromise(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFakeTime(t, func(c *quicktest.C) { runRandomFaults(c, rand.New(rand.NewPCG(seed, 1)), false) })
		})
	}
}

// The same with workers that restart under their old IDs after a crash.
func TestRandomTroubleWhereWorkersComeBackKeepsEveryPromise(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFakeTime(t, func(c *quicktest.C) { runRandomFaults(c, rand.New(rand.NewPCG(seed, 2)), true) })
		})
	}
}

// runRandomFaults plays one random history; with reborn, crashed workers restart under their old IDs.
func runRandomFaults(c *quicktest.C, r *rand.Rand, reborn bool) {
	d := deploy(c, 3, 4, func(p *platformtest.Platform) {
		p.ReuseIDs = reborn
		p.TaskDuration = func(task string) time.Duration {
			return 300*time.Millisecond + time.Duration(task[15])*30*time.Millisecond
		}
	})
	w := &workload{d: d}
	for range randomSteps {
		node := r.IntN(3)
		switch r.IntN(9) {
		case 0, 1, 2, 3:
			w.submit(node)
		case 4:
			d.nodes[node].cancel()
			<-d.nodes[node].ended
			d.nodes[node] = d.start(node)
		case 5:
			call, fault, percent := platformCalls[r.IntN(len(platformCalls))], faultCases[r.IntN(len(faultCases))].fault, r.IntN(100)
			d.platform.SetFaults(func(_, path string) platformtest.Fault {
				if path == call && r.IntN(100) < percent {
					return fault
				}
				return platformtest.None
			})
		case 6:
			d.platform.SetFaults(nil)
		case 7:
			d.platform.Store.DropHistory()
		case 8:
			machine := fmt.Sprintf("m%d", r.IntN(4))
			d.platform.Crash(machine)
			d.platform.Restart(machine)
		}
		time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
	}
	d.platform.SetFaults(nil)
	time.Sleep(5 * time.Second)
	w.awaitAll(r.IntN(3))
}
