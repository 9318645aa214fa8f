// SPDX-License-Identifier: MIT

package event

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-logfmt/logfmt"
)

// LeaderTerm is one term of a leader, as its log reports it.
type LeaderTerm struct {
	Entry, Term string
	// From is when the entry became leader, Until when it reported the loss; Until is zero without such a report.
	From, Until time.Time
	// Resigned reports whether the leader gave up the term itself.
	Resigned bool
	// Why says why the entry stood for election, Fitness how far it has what leading requires, at most 1. Both are empty for logs
	// of earlier versions.
	Why, Fitness string
	// HandedTo is the entry to which the leader handed over, HandedWhy the reason. Both are empty if it named no entry.
	HandedTo, HandedWhy string
	// Steps holds the time from the start of the term to each step of the takeover, by the step's name.
	Steps map[string]time.Duration
}

// DegradedMode is one period that a leader spent in a degraded mode.
type DegradedMode struct {
	Entry, Name string
	From        time.Time
	Lasted      time.Duration
	// Why is the reason for which the period ended.
	Why string
}

// StartPause is a period of at least MinStartPause in which no run was started although jobs were waiting.
type StartPause struct {
	From, To time.Time
	// Waiting is the number of jobs, at the end of the pause, that had been read and had no run started.
	Waiting int
}

// Leadership is the history of the leaders, extracted from the logs of entries.
type Leadership struct {
	Terms  []LeaderTerm
	Modes  []DegradedMode
	Pauses []StartPause
}

// MinStartPause is the shortest period without a start that is reported.
const MinStartPause = time.Second

// takeoverSteps are the names of the steps of a takeover, in order.
var takeoverSteps = [...]string{"tables-read", "fenced", "first-start", "all-heard"}

// Leaders extracts the terms of leaders, their degraded modes and the pauses between starts from the logs of all entries. The
// lines of several entries are merged by their clocks.
func Leaders(logs ...[]LogLine) Leadership {
	s := leaderScan{waiting: make(map[string]bool)}
	for _, l := range mergeByTime(logs) {
		s.observe(l)
	}
	return s.result
}

// leaderScan is the state of one pass over the merged lines.
type leaderScan struct {
	result    Leadership
	waiting   map[string]bool
	lastStart time.Time
}

func (s *leaderScan) observe(l LogLine) {
	switch l.Number {
	case LeadTaken:
		s.result.Terms = append(s.result.Terms, LeaderTerm{Entry: l.Entry, Term: textField(l.Text, "term"), From: l.Time, Why: textField(l.Text, "why"), Fitness: textField(l.Text, "fitness"), Steps: make(map[string]time.Duration)})
	case LeadLost:
		if t := s.term(l); t != nil {
			t.Until, t.Resigned = l.Time, textField(l.Text, "resigned") == "true"
		}
	case LeadHandedOver:
		if t := s.term(l); t != nil {
			t.HandedTo, t.HandedWhy = textField(l.Text, "to"), textField(l.Text, "why")
		}
	case TakeoverStep:
		if t := s.term(l); t != nil {
			t.Steps[textField(l.Text, "step")] = textDuration(l.Text, "after")
		}
	case ModeEnded:
		lasted := textDuration(l.Text, "lasted")
		s.result.Modes = append(s.result.Modes, DegradedMode{Entry: l.Entry, Name: textField(l.Text, "mode"), From: l.Time.Add(-lasted), Lasted: lasted, Why: textField(l.Text, "why")})
	case JobRead:
		if !strings.HasPrefix(l.Text, "cancelled") {
			s.waiting[l.Job] = true
		}
	case JobEnded:
		delete(s.waiting, l.Job)
	case RunOrdered:
		s.observeStart(l)
	}
}

// term returns the latest term of the line's entry and term number, nil when there is none.
func (s *leaderScan) term(l LogLine) *LeaderTerm {
	for i := len(s.result.Terms) - 1; i >= 0; i-- {
		if t := &s.result.Terms[i]; t.Entry == l.Entry && t.Term == textField(l.Text, "term") {
			return t
		}
	}
	return nil
}

func (s *leaderScan) observeStart(l LogLine) {
	if !s.lastStart.IsZero() && l.Time.Sub(s.lastStart) >= MinStartPause && len(s.waiting) > 0 {
		s.result.Pauses = append(s.result.Pauses, StartPause{From: s.lastStart, To: l.Time, Waiting: len(s.waiting)})
	}
	s.lastStart = l.Time
	id, _, _ := strings.Cut(l.Job, ".")
	delete(s.waiting, id)
}

// textField returns the value of a key in an event's text, or "" when the text does not have the key.
func textField(text, key string) string {
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if string(d.Key()) == key {
				return string(d.Value())
			}
		}
	}
	return ""
}

// textDuration returns the value of a key in an event's text as a duration, or 0 when it is not a duration.
func textDuration(text, key string) time.Duration {
	d, err := time.ParseDuration(textField(text, key))
	if err != nil {
		return 0 // written by another version
	}
	return d
}

// Write writes the terms, the degraded modes and the pauses between starts to w as three tables; the longest pause comes first.
func (x Leadership) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TERM\tLEADER\tFITNESS\tBECAUSE\tFROM\tUNTIL\tENDED\t"+strings.ToUpper(strings.Join(takeoverSteps[:], "\t")))
	for _, l := range x.Terms {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Term, l.Entry, cmp.Or(l.Fitness, "-"), cmp.Or(l.Why, "-"), formatClock(l.From), formatClock(l.Until), l.endReason())
		for _, step := range takeoverSteps {
			fmt.Fprintf(t, "\t%s", l.stepTime(step))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t, "\nMODE\tLEADER\tFROM\tLASTED\tENDED BY")
	for _, m := range x.Modes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\n", m.Name, m.Entry, formatClock(m.From), m.Lasted, m.Why)
	}
	fmt.Fprintln(t, "\nNO START FROM\tTO\tLASTED\tJOBS WAITING")
	slices.SortStableFunc(x.Pauses, func(a, b StartPause) int { return cmp.Compare(b.To.Sub(b.From), a.To.Sub(a.From)) })
	for _, p := range x.Pauses {
		fmt.Fprintf(t, "%s\t%s\t%v\t%d\n", formatClock(p.From), formatClock(p.To), p.To.Sub(p.From).Round(time.Millisecond), p.Waiting)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the tables of leaders: %w", err)
	}
	return nil
}

func (l LeaderTerm) endReason() string {
	switch {
	case l.Until.IsZero():
		return "not told"
	case l.HandedTo != "":
		return "handed to " + l.HandedTo + ": " + l.HandedWhy
	case l.Resigned:
		return "given up"
	}
	return "lost"
}

func (l LeaderTerm) stepTime(name string) string {
	d, ok := l.Steps[name]
	if !ok {
		return "-"
	}
	return d.String()
}

func formatClock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}
