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

// calls are the platform's calls, each of which the matrix harms in every way.
var calls = platformtest.Calls()

var harms = [...]struct {
	name  string
	fault platformtest.Fault
}{
	{"refused", platformtest.Refuse}, {"silent", platformtest.Silent}, {"done without an answer", platformtest.Lost},
	{"done late without an answer", platformtest.Late},
}

// workload is what runs meanwhile: short jobs of two steps, a lasting job, a cancel and a wave.
type workload struct {
	d *deployment
	// accepted are the jobs that got a 200, refused those that got a 503.
	accepted, refused []string
	next              int
}

func (w *workload) submit(node int) {
	w.next++
	id := fmt.Sprintf("%016x", w.next)
	switch w.d.submit(node, id, step{Count: 2, Cpu: 500, MemMb: 100, EstimateMs: 1000}, step{Count: 1, Cpu: 500, MemMb: 100, DependsOn: []int{0}}) {
	case 200:
		w.accepted = append(w.accepted, id)
	case 503:
		w.refused = append(w.refused, id)
	}
}

// settle waits until every accepted job has succeeded, and checks what callers and workers saw.
func (w *workload) settle(node int) {
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

// awaitEnd waits until the job has succeeded, or was given up because workers have crashed under it.
func (w *workload) awaitEnd(node int, id string) {
	w.d.c.Helper()
	last := ""
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_, last = w.d.call(node, http.MethodGet, id, nil)
		if last == `{"State":"succeeded"}` || (last == `{"State":"failed"}` && w.d.platform.LivesEndedUnder(id) >= job.LossLimitConclusive) {
			return
		}
	}
	w.d.c.Fatalf("job %s: %s, want succeeded", id, last)
}

// TestEveryCallHarmedInEveryWay harms one kind of call for some seconds, in the middle of which the leader stops.
func TestEveryCallHarmedInEveryWay(t *testing.T) {
	for _, call := range calls {
		for _, harm := range harms {
			t.Run(call[1:]+" "+harm.name, func(t *testing.T) {
				onFakeTime(t, func(c *quicktest.C) {
					d := deploy(c, 3, 4, nil)
					w := &workload{d: d}
					for i := range 4 {
						w.submit(i % 3)
					}
					d.platform.RequestWave(1, []string{"m0", "m1"}, 1)
					n := 0
					d.platform.SetFaults(func(_, path string) platformtest.Fault {
						n++
						if path == call && n%3 != 0 { // a third passes, so that calls overtake each other
							return harm.fault
						}
						return platformtest.None
					})
					time.Sleep(1500 * time.Millisecond)
					lost := d.leader()
					d.nodes[lost].cancel()
					<-d.nodes[lost].ended
					for i := range 2 {
						w.submit((lost + 1 + i) % 3)
					}
					time.Sleep(2500 * time.Millisecond)
					d.platform.SetFaults(nil)
					w.submit((lost + 1) % 3)
					w.settle((lost + 2) % 3)
				})
			})
		}
	}
}

// fuzzRuns is how many random histories run, each from its own fixed seed; fuzzSteps is how long each is.
const (
	fuzzRuns  = 30
	fuzzSteps = 25
)

// TestRandomTroubleKeepsEveryPromise plays random commands against the oracle of the workers' history.
func TestRandomTroubleKeepsEveryPromise(t *testing.T) {
	for seed := range uint64(fuzzRuns) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onFakeTime(t, func(c *quicktest.C) { randomTrouble(c, rand.New(rand.NewPCG(seed, 1)), false) })
		})
	}
}

// TestRandomTroubleWhereWorkersComeBackKeepsEveryPromise plays the same with workers that come back under their IDs.
func TestRandomTroubleWhereWorkersComeBackKeepsEveryPromise(t *testing.T) {
	for seed := range uint64(fuzzRuns) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			onFakeTime(t, func(c *quicktest.C) { randomTrouble(c, rand.New(rand.NewPCG(seed, 2)), true) })
		})
	}
}

func randomTrouble(c *quicktest.C, r *rand.Rand, reborn bool) {
	d := deploy(c, 3, 4, func(p *platformtest.Platform) {
		p.Reborn = reborn
		p.Takes = func(task string) time.Duration {
			return 300*time.Millisecond + time.Duration(task[15])*30*time.Millisecond
		}
	})
	w := &workload{d: d}
	for range fuzzSteps {
		node := r.IntN(3)
		switch r.IntN(9) {
		case 0, 1, 2, 3:
			w.submit(node)
		case 4:
			d.nodes[node].cancel()
			<-d.nodes[node].ended
			d.nodes[node] = d.start(node)
		case 5:
			call, harm, share := calls[r.IntN(len(calls))], harms[r.IntN(len(harms))].fault, r.IntN(100)
			d.platform.SetFaults(func(_, path string) platformtest.Fault {
				if path == call && r.IntN(100) < share {
					return harm
				}
				return platformtest.None
			})
		case 6:
			d.platform.SetFaults(nil)
		case 7:
			d.platform.Store.Forget()
		case 8:
			machine := fmt.Sprintf("m%d", r.IntN(4))
			d.platform.Crash(machine)
			d.platform.Revive(machine)
		}
		time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
	}
	d.platform.SetFaults(nil)
	time.Sleep(5 * time.Second)
	w.settle(r.IntN(3))
}
