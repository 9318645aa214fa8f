// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Drain is one drain of a data centre, as reported by the leaders during it.
type Drain struct {
	DataCentre string
	// From is when a leader first reported the drain, Empty when the data centre first had no runs left, and Until when the operator
	// ended the drain. A time that has not come yet is zero.
	From, Empty, Until time.Time
	// Remaining is the part of the latest report that counts what remains in the data centre and names what delays it.
	Remaining string
}

// Drains extracts the drains of data centres from the logs of all entries. A drain that several leaders report is one Drain.
func Drains(logs ...[]LogLine) []Drain {
	var found []*Drain
	open := make(map[string]*Drain)
	for _, l := range mergeByTime(logs) {
		if l.Number != DrainChanged {
			continue
		}
		centre := textField(l.Text, "datacentre")
		d := open[centre]
		if d == nil {
			if textField(l.Text, "state") == "taken-back" {
				continue // reported again by a leader that learned of the end later
			}
			d = &Drain{DataCentre: centre, From: l.Time}
			open[centre] = d
			found = append(found, d)
		}
		if d.apply(l) {
			delete(open, centre)
		}
	}
	out := make([]Drain, len(found))
	for i, d := range found {
		out[i] = *d
	}
	return out
}

// apply updates the drain by one line. It reports whether the drain is over.
func (d *Drain) apply(l LogLine) bool {
	switch textField(l.Text, "state") {
	case "taken-back":
		d.Until = l.Time
		return true
	case "empty":
		if d.Empty.IsZero() {
			d.Empty = l.Time
		}
	}
	if _, counts, ok := strings.Cut(l.Text, "workers="); ok {
		d.Remaining = "workers=" + counts
	}
	return false
}

// WriteDrains writes the drains to w as a table.
func WriteDrains(w io.Writer, drains []Drain) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tDRAINED\tEMPTY AFTER\tTAKEN BACK\tLEFT BY THE LAST WORD")
	for _, d := range drains {
		after := "-"
		if !d.Empty.IsZero() {
			after = d.Empty.Sub(d.From).Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.DataCentre, formatClock(d.From), after, formatClock(d.Until), d.Remaining)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table of drains: %w", err)
	}
	return nil
}
