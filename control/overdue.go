// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"slices"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// overdueDelay is how long a decision may be pending before the successor of the duty's owner writes it.
//
// It is shorter than remoteLiveTimeout, after which a failed owner in another data centre is detected.
const overdueDelay = 1500 * time.Millisecond

// overdue tracks since when each start or yield has been possible; the zero value is empty.
type overdue struct {
	since map[string]time.Time
}

// filter returns the decisions that have been possible for longer than overdueDelay without being written by the duty's owner.
func (o *overdue) filter(d place.Decisions, now time.Time) place.Decisions {
	next := make(map[string]time.Time)
	due := func(key string) bool {
		at, known := o.since[key]
		if !known {
			at = now
		}
		next[key] = at
		return now.Sub(at) > overdueDelay
	}
	d.Starts = slices.DeleteFunc(d.Starts, func(s fleet.Start) bool { return !due(fmt.Sprintf("start/%s/%d", s.Job, s.Attempt)) })
	d.Yields = slices.DeleteFunc(d.Yields, func(y fleet.Yield) bool { return !due(fmt.Sprintf("yield/%s/%d", y.Job, y.Attempt)) })
	d.Parks = nil // parking is not urgent
	o.since = next
	return d
}
