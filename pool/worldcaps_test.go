// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"rackstep.dev/job"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// modelApply is how long after a configuration an older one may still be in force at some entry.
const modelApply = 3 * time.Second

// modelCaps is one version of what organisations may have running, in tasks.
type modelCaps struct {
	at        time.Time
	most      []int
	directory *org.Directory
}

// setCaps publishes a version; entries hear of it within modelApply, each at its own time.
func (h *history) setCaps(most ...int) {
	var rows []org.Organisation
	for i, n := range most {
		rows = append(rows, org.Organisation{Name: fmt.Sprint("o", i), Weight: 100, Cap: job.Need{MilliCPU: n * modelTask}})
	}
	d, err := org.NewDirectory(rows)
	if err != nil {
		panic(err) // the model's own rows
	}
	h.mu.Lock()
	h.caps = append(h.caps, modelCaps{at: time.Now(), most: most, directory: d})
	h.mu.Unlock()
	for _, e := range h.entries {
		h.mu.Lock()
		after := time.Duration(h.r.Int64N(int64(modelApply)))
		h.mu.Unlock()
		time.AfterFunc(after, func() {
			h.mu.Lock()
			newest := h.caps[len(h.caps)-1].directory == d && !h.killed[e.name]
			h.mu.Unlock()
			if newest {
				e.scheduler.SetOrganisations(d)
			}
		})
	}
}

// organisation returns whose the next job is, in turn; nobody's when there are no caps.
func (h *history) organisation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.caps) == 0 || h.jobs%4 == 3 {
		return ""
	}
	return fmt.Sprint("o", h.jobs%len(h.caps[0].most))
}

// judgeCap recounts what an organisation has running on all workers that live, this start included; the lock is held. It shares no code with
// the leaders, and knows nothing of what they believe.
func (w *world) judgeCap(l *life, organisation, by string, o work.Start) {
	if organisation == "" || len(w.caps) == 0 {
		return
	}
	number := 0
	if _, err := fmt.Sscanf(organisation, "o%d", &number); err != nil {
		w.fail("an organisation of another name: %s", organisation)
		return
	}
	most := 0
	for i, c := range w.caps {
		if i == len(w.caps)-1 || time.Since(w.caps[i+1].at) < modelApply+modelContact {
			most = max(most, c.most[number])
		}
	}
	running := 1
	for _, x := range w.lives {
		if x.dead {
			continue
		}
		for _, r := range x.runs {
			if n, _ := job.ParseName(r.task); r.to.IsZero() && w.asked[n.ID].Organisation == organisation {
				running++
			}
		}
	}
	if running > most && running > 1 {
		w.fail("QUOTA %s run=%d on %s by %s: %d tasks of %s with it, of %d", o.Task, o.Run, l.name, by, running, organisation, most)
	}
}

// TestCapsHoldOverTakeovers plays random histories of all troubles, with caps that rise and fall: cuts, losses of leaders in a row, the store
// away, orders carried out late. No start may take an organisation over its cap, by a recount of what runs.
func TestCapsHoldOverTakeovers(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, wrong := play(t, seed, func(h *history) {
			h.answersAgain = seed%2 == 0
			h.setCaps(3, 6)
			time.Sleep(modelApply)
			for n := range historySteps {
				h.step()
				if n%6 == 5 {
					h.mu.Lock()
					a, b := 1+h.r.IntN(5), 2+h.r.IntN(8)
					h.mu.Unlock()
					h.setCaps(a, b)
				}
			}
			h.setCaps(50, 50)
			h.settle()
		})
		for _, x := range wrong {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
