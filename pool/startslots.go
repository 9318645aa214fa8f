// SPDX-License-Identifier: MIT

package pool

import "time"

// unansweredSlotTime is how long a start without an answer counts as in flight. On a saturated link answers are late rather than
// lost. If their starts stopped counting at the first timeout, which is shorter than startsWindow, the leader would send more than
// the link carries, and the link would stay saturated.
const unansweredSlotTime = 4 * startsWindow

// startSlots counts the starts in flight. Its zero value is ready to use.
type startSlots struct {
	open int
	// held holds until when each start that got no answer counts. The times are roughly ascending; one that follows a later one
	// counts until that has passed.
	held []time.Time
}

// sent counts a start.
func (s *startSlots) sent() { s.open++ }

// ended ends the slot of a start that was sent at sentAt: at once if it was answered, else after unansweredSlotTime.
func (s *startSlots) ended(answered bool, sentAt time.Time) {
	s.open--
	if !answered {
		s.held = append(s.held, sentAt.Add(unansweredSlotTime))
	}
}

// inUse returns the number of starts that count now.
func (s *startSlots) inUse(now time.Time) int {
	over := 0
	for over < len(s.held) && !now.Before(s.held[over]) {
		over++
	}
	s.held = s.held[over:]
	return s.open + len(s.held)
}

// canSendStart reports whether the link carries another start now.
func (c *session) canSendStart(now time.Time) bool {
	return c.startSlots.inUse(now) < c.maxStartsInFlight()
}
