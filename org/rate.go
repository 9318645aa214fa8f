// SPDX-License-Identifier: MIT

package org

import "time"

// Rate tells which jobs an organisation sends beyond what it may send: Weight jobs a second, in every second that slides. The zero
// value is ready; it belongs to one goroutine.
type Rate struct {
	// sent are the times of the jobs of the last second that were within the rate, oldest first.
	sent map[string][]time.Time
}

// rateSpan is the length of the sliding window that the users' rule counts jobs in.
const rateSpan = time.Second

// Exceeded takes note of a job and says whether it is beyond the rate; times must not fall by more than a moment. One that is
// beyond does not count against those that follow.
func (r *Rate) Exceeded(o *Organisation, at time.Time) bool {
	if o == nil {
		return false
	}
	if r.sent == nil {
		r.sent = make(map[string][]time.Time)
	}
	sent := r.sent[o.Name]
	for len(sent) > 0 && at.Sub(sent[0]) >= rateSpan {
		sent = sent[1:]
	}
	beyond := float64(len(sent)) >= max(o.Weight, 1)
	if !beyond {
		sent = append(sent, at)
	}
	r.sent[o.Name] = sent
	return beyond
}

// Forget drops the organisations that no configuration names any more.
func (r *Rate) Forget(d *Directory) {
	for name := range r.sent {
		if d.ByName(name) == nil {
			delete(r.sent, name)
		}
	}
}
