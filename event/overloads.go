// SPDX-License-Identifier: MIT

package event

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Overload is a period in which jobs of a queue were refused because of load.
type Overload struct {
	Queue string
	// From is when a leader first published the queue's wait or an entry first refused a job, Until when a leader ended that. A time
	// that has not come yet is zero.
	From, Until time.Time
	// Refused is the number of refused jobs, including those whose lines were omitted. Omitted lines are counted for the queue of the
	// next line of their entry.
	Refused int
	// ByOrganisation counts the logged refusals by organisation.
	ByOrganisation map[string]int
	// Wait, Age and Target are the longest wait and age that decided a refusal, and the shortest target time.
	Wait, Age, Target time.Duration
	// Room is the part of the leader's line that tells what the pool has, may still get, and what waits there.
	Room string
}

// Overloads extracts the periods of refusals from the logs of all entries, in the order of their beginnings.
func Overloads(logs ...[]LogLine) []Overload {
	var found []*Overload
	open := make(map[string]*Overload)
	at := func(l LogLine) *Overload {
		queue := textField(l.Text, "queue")
		o := open[queue]
		if o == nil {
			o = &Overload{Queue: queue, From: l.Time, ByOrganisation: make(map[string]int)}
			open[queue] = o
			found = append(found, o)
		}
		return o
	}
	for _, l := range mergeByTime(logs) {
		switch l.Number {
		case OverloadBegun:
			if _, room, ok := strings.Cut(l.Text, "pool="); ok {
				at(l).Room = "pool=" + room
			}
		case JobOverload:
			at(l).addRefusal(l)
		case OverloadEnded:
			if o := open[textField(l.Text, "queue")]; o != nil {
				o.Until = l.Time
				delete(open, o.Queue)
			}
		}
	}
	out := make([]Overload, len(found))
	for i, o := range found {
		out[i] = *o
	}
	return out
}

func (o *Overload) addRefusal(l LogLine) {
	omitted, _ := strconv.Atoi(textField(l.Text, "omitted")) // 0 when it is missing
	o.Refused += 1 + omitted
	o.ByOrganisation[textField(l.Text, "organisation")]++
	o.Wait = max(o.Wait, textDuration(l.Text, "wait"))
	o.Age = max(o.Age, textDuration(l.Text, "age"))
	if target := textDuration(l.Text, "target"); o.Target == 0 || target < o.Target {
		o.Target = target
	}
}

// maxOrganisationsShown is the number of organisations in a row of the table.
const maxOrganisationsShown = 3

// organisations returns the organisations with the most refusals.
func (o *Overload) organisations() string {
	names := slices.SortedFunc(maps.Keys(o.ByOrganisation), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.ByOrganisation[b], o.ByOrganisation[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(len(names), maxOrganisationsShown)] {
		parts = append(parts, fmt.Sprintf("%s:%d", cmp.Or(name, "-"), o.ByOrganisation[name]))
	}
	return strings.Join(parts, " ")
}

// WriteOverloads writes the periods to w as a table.
func WriteOverloads(w io.Writer, overloads []Overload) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUEUE\tFROM\tUNTIL\tREFUSED\tLONGEST WAIT\tSHORTEST TARGET\tOLDEST\tORGANISATIONS\tROOM AT THE BEGINNING")
	for i := range overloads {
		o := &overloads[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%v\t%v\t%s\t%s\n", o.Queue, formatClock(o.From), formatClock(o.Until), o.Refused, o.Wait, o.Target, o.Age, o.organisations(), o.Room)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table of overloads: %w", err)
	}
	return nil
}
