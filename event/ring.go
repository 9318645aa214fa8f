// SPDX-License-Identifier: MIT

package event

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Subject names what an event is about; empty fields do not apply.
type Subject struct {
	Plan     string `json:"plan,omitempty"`
	Instance string `json:"instance,omitempty"`
	Job      string `json:"job,omitempty"`
	Request  string `json:"request,omitempty"`
	Entry    string `json:"about,omitempty"`
}

// Event is one thing that happened at one entry.
type Event struct {
	Number Number `json:"number"`
	Name   string `json:"name"`
	// Entry is where it happened, Sequence its place among the entry's events.
	Entry    string `json:"entry"`
	Sequence uint64 `json:"sequence"`
	// Offset is the last record of the fleet log that the entry had folded.
	Offset int64 `json:"offset"`
	// Time is the entry's clock; it is shown and never compared.
	Time time.Time `json:"time"`
	Subject
	Text string `json:"text,omitempty"`
}

// Ring keeps the latest events of one entry and writes each to its log.
type Ring struct {
	// Entry is the name of the entry.
	Entry string
	// Logger receives every event; none when nil.
	Logger log.Logger
	// Size is the number of events kept; 4096 when 0.
	Size int
	// Clock returns the current time; time.Now when nil.
	Clock func() time.Time

	mu     sync.Mutex
	events []Event
	next   uint64
	offset int64
}

const defaultRing = 4096

// SetOffset says which record of the fleet log the entry has folded.
func (r *Ring) SetOffset(offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset = offset
}

// Emit adds an event; a nil ring drops it.
func (r *Ring) Emit(n Number, s Subject, text string) {
	if r == nil {
		return
	}
	e := r.add(n, s, text)
	if r.Logger == nil {
		return
	}
	kv := []any{"event", int(n), "name", e.Name, "offset", e.Offset}
	for _, f := range [...]struct{ key, value string }{
		{"plan", s.Plan}, {"instance", s.Instance}, {"job", s.Job}, {"request", s.Request}, {"about", s.Entry}, {"text", text},
	} {
		if f.value != "" {
			kv = append(kv, f.key, f.value)
		}
	}
	_ = r.Logger.Log(kv...) // a log that can't be written must not stop the entry
}

func (r *Ring) add(n Number, s Subject, text string) Event {
	now := time.Now
	if r.Clock != nil {
		now = r.Clock
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.Size
	if size == 0 {
		size = defaultRing
	}
	e := Event{Number: n, Name: n.Name(), Entry: r.Entry, Sequence: r.next, Offset: r.offset, Time: now(), Subject: s, Text: text}
	if len(r.events) < size {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%uint64(size)] = e
	}
	r.next++
	return e
}

// Since returns the events kept with a sequence of at least from, oldest first.
func (r *Ring) Since(from uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.events {
		if e.Sequence >= from {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}

// SortTimeLine sorts the events of several entries into one time line.
func SortTimeLine(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Sequence, b.Sequence))
	})
}

// Matches says whether the event is about the subject's non-empty fields.
func (e Event) Matches(s Subject) bool {
	return (s.Plan == "" || s.Plan == e.Plan) && (s.Instance == "" || s.Instance == e.Instance) &&
		(s.Job == "" || s.Job == e.Job) && (s.Request == "" || s.Request == e.Request)
}
