// SPDX-License-Identifier: MIT

package org

import "time"

// Rate detects jobs that an organisation submits over its rate of Weight jobs per second, counted in a sliding
// window. The zero value is ready to use. A Rate is not safe for concurrent use.
type Rate struct {
	// sent holds the times of the jobs of the last second that were within the rate, oldest first.
	sent map[string][]time.Time
}

// rateWindow is the length of the sliding window, as defined by the users' rule.
const rateWindow = time.Second

// Exceeded records a job and reports whether it is over the organisation's rate. Successive times must be roughly
// ascending. Jobs over the rate do not count against later ones.
func (r *Rate) Exceeded(o *Organisation, at time.Time) bool {
	if o == nil {
		return false
	}
	if r.sent == nil {
		r.sent = make(map[string][]time.Time)
	}
	sent := r.sent[o.Name]
	for len(sent) > 0 && at.Sub(sent[0]) >= rateWindow {
		sent = sent[1:]
	}
	over := float64(len(sent)) >= max(o.Weight, 1)
	if !over {
		sent = append(sent, at)
	}
	r.sent[o.Name] = sent
	return over
}

// Forget drops the state of organisations that are not in the directory.
func (r *Rate) Forget(d *Directory) {
	for name := range r.sent {
		if d.ByName(name) == nil {
			delete(r.sent, name)
		}
	}
}
