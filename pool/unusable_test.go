// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
)

// Guards against ending runs, or losing or repeating tasks, when entries of the list of workers become unusable for some seconds under load, with or without a
// takeover in between. Either a tenth of the entries is affected, or all entries of a pool.
func TestEntriesThatTurnBadEndNothing(t *testing.T) {
	for name, spoils := range map[string]func(l *incarnation) bool{
		"a tenth": func(l *incarnation) bool { return l.machine.name == "m03" },
		"a pool":  func(l *incarnation) bool { return l.pool == "p0" },
	} {
		t.Run(name, func(t *testing.T) {
			for _, takeover := range [...]bool{false, true} {
				_, wrong := runHistory(t, 11, func(h *history) { h.corruptEntries(spoils, takeover) })
				quicktest.New(t).Check(wrong, quicktest.HasLen, 0, quicktest.Commentf("takeover=%t", takeover))
			}
		})
	}
}

// corruptEntries makes the selected entries unusable for some seconds while jobs are submitted, and checks that lasting runs go on.
func (h *history) corruptEntries(spoils func(l *incarnation) bool, takeover bool) {
	h.submit(true, 3)
	h.submit(true, 3)
	h.submitLoad(2*time.Second, 100*time.Millisecond)
	lasting := h.lastingRuns()
	h.mu.Lock()
	h.corrupts = spoils
	h.topic("servers").add(feed.KeyedRecord{Key: "stranger", Value: []byte("\x00{")}, feed.KeyedRecord{Key: "else", Value: []byte(`{"machine":"m99","pool":"elsewhere","zone":"z0"}`)})
	h.mu.Unlock()
	h.submitLoad(3*time.Second, 100*time.Millisecond)
	if takeover {
		e := h.leader()
		h.kill(e)
		h.restartEntry(e)
	}
	h.submitLoad(4*time.Second, 100*time.Millisecond)
	h.mu.Lock()
	h.corrupts = nil
	h.mu.Unlock()
	h.c.Check(h.lastingRuns(), quicktest.DeepEquals, lasting)
	h.healAndCheck()
}

// lastingRuns returns the name and the latest run number of each lasting task.
func (h *history) lastingRuns() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id := 1; id <= h.jobCount; id++ {
		s := h.specs[fmt.Sprintf("%016x", id)]
		for i := range s.Steps[0].Count {
			task := fmt.Sprintf("%s.0.0.%d", s.ID, i)
			if runs := h.runsByTask[task]; s.Steps[0].Lasting && len(runs) > 0 {
				out = append(out, fmt.Sprint(task, " ", runs[len(runs)-1].number))
			}
		}
	}
	return out
}
