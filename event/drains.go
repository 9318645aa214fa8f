// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Drain is one drain of a data centre, as the leaders of its time told it.
type Drain struct {
	DataCentre string
	// From is when the first leader learned of it, Empty when nothing was left there for the first time, Until when it was taken back; each is the
	// zero time while it has not happened.
	From, Empty, Until time.Time
	// Left says what was left there by the last word, and what holds it.
	Left string
}

// Drains reads the drains of data centres from the logs of all entries.
func Drains(logs ...[]Line) []Drain {
	var found []*Drain
	open := make(map[string]*Drain)
	for _, l := range inOrder(logs) {
		if l.Number != DrainChanged {
			continue
		}
		centre := word(l.Text, "datacentre")
		d := open[centre]
		if d == nil {
			if word(l.Text, "state") == "taken-back" {
				continue // by a leader that heard of it late
			}
			d = &Drain{DataCentre: centre, From: l.Time}
			open[centre] = d
			found = append(found, d)
		}
		if d.take(l) {
			delete(open, centre)
		}
	}
	out := make([]Drain, len(found))
	for i, d := range found {
		out[i] = *d
	}
	return out
}

// take applies a line; it says whether the drain is over.
func (d *Drain) take(l Line) bool {
	switch word(l.Text, "state") {
	case "taken-back":
		d.Until = l.Time
		return true
	case "empty":
		if d.Empty.IsZero() {
			d.Empty = l.Time
		}
	}
	if _, left, ok := strings.Cut(l.Text, "workers="); ok {
		d.Left = "workers=" + left
	}
	return false
}

// WriteDrains prints drains as a table.
func WriteDrains(w io.Writer, drains []Drain) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tDRAINED\tEMPTY AFTER\tTAKEN BACK\tLEFT BY THE LAST WORD")
	for _, d := range drains {
		after := "-"
		if !d.Empty.IsZero() {
			after = d.Empty.Sub(d.From).Round(time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.DataCentre, clock(d.From), after, clock(d.Until), d.Left)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the drains: %w", err)
	}
	return nil
}
