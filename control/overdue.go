// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"slices"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// overdueAfter is how long a decision may be left undone before the next entry in line carries it out.
//
// It may take longer until a dead leader in another data centre is missed.
const overdueAfter = 1500 * time.Millisecond

// overdue remembers since when each job could have been started or yielded; the zero value knows nothing.
type overdue struct {
	since map[string]time.Time
}

// of returns those of the decisions that have been possible for a while and that the leader has left undone.
func (o *overdue) of(d place.Decisions, now time.Time) place.Decisions {
	next := make(map[string]time.Time)
	due := func(key string) bool {
		at, known := o.since[key]
		if !known {
			at = now
		}
		next[key] = at
		return now.Sub(at) > overdueAfter
	}
	d.Starts = slices.DeleteFunc(d.Starts, func(s fleet.Start) bool { return !due(fmt.Sprintf("start/%s/%d", s.Job, s.Attempt)) })
	d.Yields = slices.DeleteFunc(d.Yields, func(y fleet.Yield) bool { return !due(fmt.Sprintf("yield/%s/%d", y.Job, y.Attempt)) })
	d.Parks = nil // nothing waits for them
	o.since = next
	return d
}
