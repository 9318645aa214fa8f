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

// simConfigDelay is how long after a new configuration an older one may still be in force at some entry.
const simConfigDelay = 3 * time.Second

// tellEntries lets each running entry learn of a change at its own time within simConfigDelay. The lock is held during the call.
func (h *history) tellEntries(tell func(e *entry)) {
	for _, e := range h.entries {
		h.mu.Lock()
		after := time.Duration(h.r.Int64N(int64(simConfigDelay)))
		h.mu.Unlock()
		time.AfterFunc(after, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.killed[e.name] {
				tell(e)
			}
		})
	}
}

// capsVersion is one version of the organisations' caps, in tasks.
type capsVersion struct {
	at        time.Time
	limits    []int
	directory *org.Directory
}

// setCaps publishes a new version of the caps. Each entry applies it at its own time within simConfigDelay.
func (h *history) setCaps(limits ...int) {
	var rows []org.Organisation
	for i, n := range limits {
		rows = append(rows, org.Organisation{Name: fmt.Sprint("o", i), Weight: 100, Cap: job.Need{MilliCPU: n * simTaskCPU}})
	}
	d, err := org.NewDirectory(rows)
	if err != nil {
		panic(err) // the rows are valid by construction
	}
	h.mu.Lock()
	h.caps = append(h.caps, capsVersion{at: time.Now(), limits: limits, directory: d})
	h.mu.Unlock()
	for _, e := range h.entries {
		h.mu.Lock()
		after := time.Duration(h.r.Int64N(int64(simConfigDelay)))
		h.mu.Unlock()
		time.AfterFunc(after, func() {
			h.mu.Lock()
			current := h.caps[len(h.caps)-1].directory == d && !h.killed[e.name]
			h.mu.Unlock()
			if current {
				e.scheduler.SetOrganisations(d)
			}
		})
	}
}

// organisation returns the organisation of the next job, in rotation. Every fourth job has none, and all while there are no
// caps.
func (h *history) organisation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.caps) == 0 || h.jobCount%4 == 3 {
		return ""
	}
	return fmt.Sprint("o", h.jobCount%len(h.caps[0].limits))
}

// checkCap recounts the tasks that an organisation has running on all live workers, this start included. It shares no code
// with the leaders and does not use their state. The lock must be held.
func (sim *simulation) checkCap(l *incarnation, organisation, by string, o work.Start) {
	if organisation == "" || len(sim.caps) == 0 {
		return
	}
	number := 0
	if _, err := fmt.Sscanf(organisation, "o%d", &number); err != nil {
		sim.report("unknown organisation: %s", organisation)
		return
	}
	limit := 0
	for i, c := range sim.caps {
		if i == len(sim.caps)-1 || time.Since(sim.caps[i+1].at) < simConfigDelay+simContactGrace {
			limit = max(limit, c.limits[number])
		}
	}
	running := 1
	for _, x := range sim.incarnations {
		if x.dead {
			continue
		}
		for _, r := range x.runs {
			if n, _ := job.ParseName(r.task); r.endedAt.IsZero() && sim.specs[n.ID].Organisation == organisation {
				running++
			}
		}
	}
	if running > limit && running > 1 {
		sim.report("QUOTA %s run=%d on %s by %s: %d tasks of %s run including this one, its cap is %d", o.Task, o.Run, l.name, by, running, organisation, limit)
	}
}

// TestCapsHoldOverTakeovers guards against starts that take an organisation over its cap, by a recount of what runs. Caps
// rise and fall during random histories of partitions, successive losses of leaders, store outages and late orders.
func TestCapsHoldOverTakeovers(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, violations := runHistory(t, seed, func(h *history) {
			h.repeatsBeforeFencing = seed%2 == 0
			h.setCaps(3, 6)
			time.Sleep(simConfigDelay)
			for n := range historySteps {
				h.randomStep()
				if n%6 == 5 {
					h.mu.Lock()
					a, b := 1+h.r.IntN(5), 2+h.r.IntN(8)
					h.mu.Unlock()
					h.setCaps(a, b)
				}
			}
			h.setCaps(50, 50)
			h.healAndCheck()
		})
		for _, x := range violations {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
