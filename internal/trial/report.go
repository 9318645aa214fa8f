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

// RequestReport counts the outcomes of the requests of a trial and the violations of guarantees.
type RequestReport struct {
	Requests, Whole, NotRun, Unknown int
	// NoAnswer counts requests without an answer, Mismatched those that got the answer to another request.
	NoAnswer, Mismatched int
	// RanTwice counts requests that ran twice although they must not be repeated, RanAfterNotRun those that ran although
	// the caller was told "not run".
	RanTwice, RanAfterNotRun int
	// Reasons counts the requests that did not complete, by the reason in the reply.
	Reasons map[serve.Reason]int
	// OverSlots counts targets that were sent more requests than they have slots, OverConnections targets that had more
	// connections open than allowed.
	OverSlots, OverConnections int
	// DuringMaintenance counts requests that reached an instance during its maintenance.
	DuringMaintenance int
	// P50 and P99 are latency quantiles of complete answers.
	P50, P99 time.Duration
}

// Evaluate compares the replies with the requests that the targets received.
func (s *Site) Evaluate(replies []Reply) RequestReport {
	v := RequestReport{Reasons: make(map[serve.Reason]int)}
	ran := make(map[string]int)
	for _, t := range s.Targets {
		c := t.Counts()
		for mark, n := range c.RunsByMark {
			ran[mark] += n
		}
		v.DuringMaintenance += c.DuringMaintenance
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
	for _, t := range replies {
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

// Violations lists the guarantees that the report shows to be violated.
func (v RequestReport) Violations() []string {
	var out []string
	for _, x := range [...]struct {
		n    int
		text string
	}{
		{v.NoAnswer, "requests ended without an answer"}, {v.Mismatched, "answers belonged to another request"},
		{v.RanTwice, "requests that must not be repeated ran twice"}, {v.RanAfterNotRun, "requests ran although the caller was told 'not run'"},
		{v.OverSlots, "targets were sent more requests than their slots"}, {v.OverConnections, "targets had more connections than allowed"},
		{v.DuringMaintenance, "requests reached an instance during its maintenance"},
	} {
		if x.n > 0 {
			out = append(out, fmt.Sprintf("%d %s", x.n, x.text))
		}
	}
	return out
}

// History summarises the fleet log of a trial.
type History struct {
	// MinMargin is, for each budget, the lowest spare capacity after one of its instances began to drain.
	MinMargin map[string]int
	// MaxOut is the highest number of instances out of service at once, Moves the number of job moves.
	MaxOut, Moves int
	// RanTwice lists jobs that must not be repeated but were started from the beginning more than once.
	RanTwice []string
	// Jobs counts the jobs by their last state.
	Jobs map[fleet.JobState]int
}

// Replay applies the records of the fleet log to empty tables and summarises the states on the way.
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
			h.recordDrain(t, t.Instances.Get(r.Advance.Instance))
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

// recordDrain updates the history after an instance began to drain. Only budgets that cover the instance are checked:
// instances that died may have exceeded another budget before, and that must not block drains elsewhere.
func (h *History) recordDrain(t *fleet.Tables, taken *fleet.Instance) {
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
