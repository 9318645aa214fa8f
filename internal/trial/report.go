// SPDX-License-Identifier: MIT

package trial

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

// RequestReport is what became of the requests of a trial, and which promises were broken.
type RequestReport struct {
	Requests, Whole, NotRun, Unknown int
	// NoAnswer are requests without an answer, Wrong those with another one's answer.
	NoAnswer, Mismatched int
	// RanTwice are requests not to be repeated that ran twice, Lied those that ran after "not run".
	RanTwice, RanAfterNotRun int
	// Reasons counts the problems by their reason.
	Reasons map[serve.Reason]int
	// OverSlots are targets that were sent more than their slots, OverConnections more than their connections.
	OverSlots, OverConnections int
	// DuringMaintenance are requests that reached an instance during its maintenance.
	DuringMaintenance int
	// P50 and P99 are times of whole answers.
	P50, P99 time.Duration
}

// Evaluate compares what callers were told with what the targets saw.
func (s *Site) Evaluate(told []Reply) RequestReport {
	v := RequestReport{Reasons: make(map[serve.Reason]int)}
	ran := make(map[string]int)
	for _, t := range s.Targets {
		c := t.Counts()
		for mark, n := range c.Ran {
			ran[mark] += n
		}
		v.DuringMaintenance += c.Late
		if c.Refused > 0 {
			v.OverSlots++
		}
		if c.PeakConnections > fleet.DefaultConnections {
			v.OverConnections++
		}
	}
	var times []time.Duration
	notRun := make(map[string]bool)
	others := make(map[string]bool)
	for _, t := range told {
		v.count(t)
		switch {
		case t.Outcome == serve.OutcomeNotRun:
			notRun[t.Mark] = true
		default:
			others[t.Mark] = true
		}
		if t.Outcome == serve.OutcomeWhole {
			times = append(times, t.Latency)
		}
		if !t.Repeatable && ran[t.Mark] > 1 {
			v.RanTwice++
		}
	}
	for mark := range notRun {
		if ran[mark] > 0 && !others[mark] {
			v.RanAfterNotRun++
		}
	}
	v.P50, v.P99 = quantile(times, 0.5), quantile(times, 0.99)
	return v
}

func (v *RequestReport) count(t Reply) {
	v.Requests++
	switch {
	case t.NoAnswer:
		v.NoAnswer++
		return
	case t.Mismatched:
		v.Mismatched++
	}
	switch t.Outcome {
	case serve.OutcomeWhole:
		v.Whole++
	case serve.OutcomeNotRun:
		v.NotRun++
		v.Reasons[t.Reason]++
	default:
		v.Unknown++
		v.Reasons[t.Reason]++
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// Violations lists the promises that the verdict shows broken.
func (v RequestReport) Violations() []string {
	var broken []string
	for _, x := range [...]struct {
		n    int
		what string
	}{
		{v.NoAnswer, "requests ended without an answer"}, {v.Mismatched, "answers went to another request"},
		{v.RanTwice, "requests not to be repeated ran twice"}, {v.RanAfterNotRun, "requests ran although the caller was told 'not run'"},
		{v.OverSlots, "targets were sent more than their slots"}, {v.OverConnections, "targets had more than their connections"},
		{v.DuringMaintenance, "requests reached an instance during its maintenance"},
	} {
		if x.n > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", x.n, x.what))
		}
	}
	return broken
}

// History is what the fleet log says of a trial.
type History struct {
	// MinMargin is the lowest margin that a take-out left to each budget that its instance counts for.
	MinMargin map[string]int
	// MaxOut is the most instances that were out at once, Moves the jobs displaced.
	MaxOut, Moves int
	// RanTwice are jobs that were begun anew more than once and may not be.
	RanTwice []string
	// Jobs are the jobs by their last state.
	Jobs map[fleet.JobState]int
}

// Replay folds the fleet log again and looks at every state on the way.
func (s *Site) Replay() History {
	h := History{MinMargin: make(map[string]int), Jobs: make(map[fleet.JobState]int)}
	t := fleet.New()
	for offset, data := range s.Platform.Records("fleet") {
		r, err := fleet.DecodeRecord(data)
		if err != nil {
			continue
		}
		available := r.Advance != nil && r.Advance.To == fleet.StepDraining && t.Instances.Get(r.Advance.Instance).Available()
		refused := t.Apply(int64(offset), r) != nil
		if available && !refused {
			h.recordTakeOut(t, t.Instances.Get(r.Advance.Instance))
		}
	}
	starts := s.Platform.Starts()
	for id, j := range t.Jobs.All {
		h.Moves += j.Moves
		h.Jobs[j.State]++
		if starts[id] > 1 && !j.Spec.Repeatable {
			h.RanTwice = append(h.RanTwice, id)
		}
	}
	return h
}

// recordTakeOut takes note of a state after an instance was taken out. Budgets that the instance does not count for are left alone:
// instances that have died may have broken one before, and no take-out may wait for that elsewhere.
func (h *History) recordTakeOut(t *fleet.Tables, taken *fleet.Instance) {
	out := 0
	for _, in := range t.Instances.All {
		if in.State != fleet.InstanceServing {
			out++
		}
	}
	h.MaxOut = max(h.MaxOut, out)
	for _, b := range t.Configuration.Budgets() {
		if !b.Covers(taken.Pool, taken.DataCentre) {
			continue
		}
		m := t.Spare(b).In(taken.DataCentre)
		if old, ok := h.MinMargin[b.Name]; !ok || m < old {
			h.MinMargin[b.Name] = m
		}
	}
}
