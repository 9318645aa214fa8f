// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// ShortPool is what a pool wanted, was granted and had at one time during a shortage of instances.
type ShortPool struct {
	Time time.Time
	Pool string
	// Wanted, Granted and Have count instances.
	Wanted, Granted, Have string
	// Lasting is how many instances lasting tasks need, Timely how many the work that can be in time needs, and Movable how many
	// of the pool's instances could move to another pool.
	Lasting, Timely, Movable string
}

// InstanceShift is a number of instances that moved to the pool where they yield more.
type InstanceShift struct {
	Time                time.Time
	From, To, Instances string
	// Gain is what the last of the instances yields in the pool to which it moved, Loss what it would yield in the other one.
	Gain, Loss string
}

// Shortages is the history of the times in which pools together wanted more instances than there were, extracted from the
// logs of entries.
type Shortages struct {
	Pools  []ShortPool
	Shifts []InstanceShift
	// Lasted holds the duration of each shortage whose end was logged.
	Lasted []time.Duration
}

// FindShortages extracts the shortages of instances from the logs of all entries.
func FindShortages(logs ...[]LogLine) Shortages {
	var s Shortages
	for _, l := range mergeByTime(logs) {
		field := func(key string) string { return textField(l.Text, key) }
		switch {
		case l.Number == PoolShort && field("state") == "ended":
			s.Lasted = append(s.Lasted, textDuration(l.Text, "lasted"))
		case l.Number == PoolShort:
			s.Pools = append(s.Pools, ShortPool{
				Time: l.Time, Pool: field("pool"), Wanted: field("wanted"), Granted: field("granted"), Have: field("have"),
				Lasting: field("lasting"), Timely: field("timely"), Movable: field("movable"),
			})
		case l.Number == InstancesShifted:
			s.Shifts = append(s.Shifts, InstanceShift{
				Time: l.Time, From: field("from"), To: field("to"), Instances: field("instances"), Gain: field("gain"), Loss: field("loss"),
			})
		}
	}
	return s
}

// Write writes the pools and the shifts to w as two tables, and then how long each shortage lasted.
func (x Shortages) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tPOOL\tWANTED\tGRANTED\tHAVE\tLASTING\tTIMELY\tMOVABLE")
	for _, p := range x.Pools {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", formatClock(p.Time), p.Pool, p.Wanted, p.Granted, p.Have, p.Lasting, p.Timely, p.Movable)
	}
	fmt.Fprintln(t, "\nTIME\tFROM\tTO\tINSTANCES\tGAIN\tLOSS")
	for _, s := range x.Shifts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", formatClock(s.Time), s.From, s.To, s.Instances, s.Gain, s.Loss)
	}
	for _, d := range x.Lasted {
		fmt.Fprintf(t, "\nA shortage lasted %v.\n", d)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the tables of shortages: %w", err)
	}
	return nil
}
