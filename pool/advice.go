// SPDX-License-Identifier: MIT

package pool

import "rackstep.dev/job"

// stepTickets are the tickets of one step, by the worker's life.
type stepTickets struct {
	tickets map[string]Ticket
	asking  bool
}

// forgetTicket drops a ticket that a worker refused.
func (c *session) forgetTicket(t *job.Task, life string) {
	if s := c.tickets[stepName(t)]; s != nil {
		delete(s.tickets, life)
	}
}
