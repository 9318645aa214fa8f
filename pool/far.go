// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
)

const (
	// farFor is how long a leader's calls to the store go through other entries before it hands over: each commit and read is a relay longer,
	// and what is handed in is heard late. With a leader that was cut off from the store for 12 s of a day, the day was worth 0.52 to 0.54,
	// 0.66 to 0.68 with another leader (five plays and four).
	farFor = time.Second
	// farRest is how long a leader leads before it hands over for it: the lead must not go round while ways change.
	farRest = 3 * time.Second
)

// handOverIfFar gives the lead up when the store does not answer this entry and does answer others: one of them is nearer to it.
func (c *session) handOverIfFar(now time.Time) {
	if c.HandOver == nil || c.Relayed == nil || now.Sub(c.began) < farRest {
		return
	}
	relayed := c.Relayed()
	if relayed < farFor {
		return
	}
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d relayed=%v", c.term.Number, relayed.Round(time.Millisecond))
	c.HandOver(c.term.Fence)
}
