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

// Lead is one term of a leader, by its log.
type Lead struct {
	Entry, Term string
	// From is when it was taken; Until when its entry said that it was lost, the zero time when it did not.
	From, Until time.Time
	// Resigned says that the leader gave it up itself.
	Resigned bool
	// Steps are how long after the term the steps of taking over were reached.
	Steps map[string]time.Duration
}

// Mode is a time that a leader spent in a degraded mode.
type Mode struct {
	Entry, Name string
	From        time.Time
	Lasted      time.Duration
	// Why says why it ended.
	Why string
}

// Pause is a time of at least PauseLeast without a start while jobs waited.
type Pause struct {
	From, To time.Time
	// Waiting counts the jobs that had been read and of which nothing had begun, when the pause ended.
	Waiting int
}

// Leadership is what the logs of entries say of their leaders.
type Leadership struct {
	Leads  []Lead
	Modes  []Mode
	Pauses []Pause
}

// PauseLeast is the shortest time without a start that is told.
const PauseLeast = time.Second

// takeoverSteps are the steps of taking over in their order.
var takeoverSteps = [...]string{"tables-read", "fenced", "first-start", "all-heard"}

// Leaders reads the leaders, their degraded modes and the pauses in their starts from the logs of all entries. Lines of
// several entries are put together by their clocks.
func Leaders(logs ...[]Line) Leadership {
	s := leaderScan{waiting: make(map[string]bool)}
	for _, l := range inOrder(logs) {
		s.take(l)
	}
	return s.found
}

// leaderScan goes through the lines once.
type leaderScan struct {
	found     Leadership
	waiting   map[string]bool
	lastStart time.Time
}

func (s *leaderScan) take(l Line) {
	switch l.Number {
	case LeadTaken:
		s.found.Leads = append(s.found.Leads, Lead{Entry: l.Entry, Term: word(l.Text, "term"), From: l.Time, Steps: make(map[string]time.Duration)})
	case LeadLost:
		if lead := s.lead(l); lead != nil {
			lead.Until, lead.Resigned = l.Time, word(l.Text, "resigned") == "true"
		}
	case TakeoverStep:
		if lead := s.lead(l); lead != nil {
			lead.Steps[word(l.Text, "step")] = duration(l.Text, "after")
		}
	case ModeEnded:
		lasted := duration(l.Text, "lasted")
		s.found.Modes = append(s.found.Modes, Mode{Entry: l.Entry, Name: word(l.Text, "mode"), From: l.Time.Add(-lasted), Lasted: lasted, Why: word(l.Text, "why")})
	case JobRead:
		if !strings.HasPrefix(l.Text, "cancelled") {
			s.waiting[l.Job] = true
		}
	case JobEnded:
		delete(s.waiting, l.Job)
	case RunOrdered:
		s.start(l)
	}
}

// lead returns the latest term that the line belongs to.
func (s *leaderScan) lead(l Line) *Lead {
	for i := len(s.found.Leads) - 1; i >= 0; i-- {
		if x := &s.found.Leads[i]; x.Entry == l.Entry && x.Term == word(l.Text, "term") {
			return x
		}
	}
	return nil
}

func (s *leaderScan) start(l Line) {
	if !s.lastStart.IsZero() && l.Time.Sub(s.lastStart) >= PauseLeast && len(s.waiting) > 0 {
		s.found.Pauses = append(s.found.Pauses, Pause{From: s.lastStart, To: l.Time, Waiting: len(s.waiting)})
	}
	s.lastStart = l.Time
	id, _, _ := strings.Cut(l.Job, ".")
	delete(s.waiting, id)
}

// word returns the value of a key in an event's text, empty when it is not there.
func word(text, key string) string {
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

// duration returns the value of a key as a duration, 0 when it is none.
func duration(text, key string) time.Duration {
	d, err := time.ParseDuration(word(text, key))
	if err != nil {
		return 0 // a line of another version
	}
	return d
}

// Write prints the leaders, the times in degraded modes and the pauses as tables.
func (x Leadership) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TERM\tLEADER\tFROM\tUNTIL\tENDED\t"+strings.ToUpper(strings.Join(takeoverSteps[:], "\t")))
	for _, l := range x.Leads {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s", l.Term, l.Entry, clock(l.From), clock(l.Until), l.ending())
		for _, step := range takeoverSteps {
			fmt.Fprintf(t, "\t%s", l.step(step))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t, "\nMODE\tLEADER\tFROM\tLASTED\tENDED BY")
	for _, m := range x.Modes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\n", m.Name, m.Entry, clock(m.From), m.Lasted, m.Why)
	}
	fmt.Fprintln(t, "\nNO START FROM\tTO\tLASTED\tJOBS WAITING")
	slices.SortStableFunc(x.Pauses, func(a, b Pause) int { return cmp.Compare(b.To.Sub(b.From), a.To.Sub(a.From)) })
	for _, p := range x.Pauses {
		fmt.Fprintf(t, "%s\t%s\t%v\t%d\n", clock(p.From), clock(p.To), p.To.Sub(p.From).Round(time.Millisecond), p.Waiting)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the leaders: %w", err)
	}
	return nil
}

func (l Lead) ending() string {
	switch {
	case l.Until.IsZero():
		return "not told"
	case l.Resigned:
		return "given up"
	}
	return "lost"
}

func (l Lead) step(name string) string {
	d, ok := l.Steps[name]
	if !ok {
		return "-"
	}
	return d.String()
}

func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}
