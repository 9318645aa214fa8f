// SPDX-License-Identifier: MIT

package pool

import (
	"errors"
	"fmt"
	"time"
)

// Limits of the calls that move or maintain instances.
const (
	// maxMachineCalls is the maximum number of concurrent calls. It is lower than the number of connections of the adapter, so that no call waits for
	// a connection and a call that times out has been sent.
	maxMachineCalls = 24
	// machineRateShare is the share of the machine interface's rate limit that a leader uses. The rest is left for calls of the previous leader and
	// for clock differences.
	machineRateShare = 0.9
	// machineRateBurst is the period for which unused rate accumulates.
	machineRateBurst = 200 * time.Millisecond
	// machineRatePause is the pause after the interface has rejected a call because of its rate limit.
	machineRatePause = 200 * time.Millisecond
)

// callLimiter limits the rate and the number of concurrent calls to the machine interface.
//
// A call that it rejects stays with its caller, which retries calls in the order of their benefit and can cancel them. With a single queue for the
// adapter's connections, 1,100 to 1,500 moves per test day with 1,100 instances timed out before they were sent.
type machineCallLimiter struct {
	inFlight    int
	tokens      float64
	refilledAt  time.Time
	pausedUntil time.Time
	// denied means that a call has been rejected since the pending moves were last advanced. The next answer advances them again.
	denied bool
}

// tryAcquire reports whether a call may be made now. perSecond is the rate limit of the interface, 0 for none.
func (d *machineCallLimiter) tryAcquire(perSecond float64, now time.Time) bool {
	if d.inFlight >= maxMachineCalls || now.Before(d.pausedUntil) || !d.spendToken(perSecond*machineRateShare, now) {
		d.denied = true
		return false
	}
	d.inFlight++
	return true
}

func (d *machineCallLimiter) spendToken(perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	burst := max(1, perSecond*machineRateBurst.Seconds())
	if d.refilledAt.IsZero() {
		d.tokens = burst
	} else {
		d.tokens = min(burst, d.tokens+perSecond*now.Sub(d.refilledAt).Seconds())
	}
	d.refilledAt = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// errNotCalled means that a call to the machine interface was not sent, because the lead was no longer confirmed.
var errNotCalled = errors.New("machine interface not called, the lead was no longer confirmed")

// callIfConfirmed makes a call to the machine interface unless the store's last confirmation of the lead has expired. A process that was suspended,
// or a goroutine that waited for the processor, could otherwise send the call after the next leader has taken over.
func (c *session) callIfConfirmed(call func() error) error {
	if !c.confirmed(c.now()) {
		return fmt.Errorf("%w: %w", errNotCalled, ErrBusy)
	}
	return call()
}

// release records the end of a call, whether it was answered or not.
func (d *machineCallLimiter) release() { d.inFlight-- }

// pause rejects all calls for machineRatePause.
func (d *machineCallLimiter) pause(now time.Time) { d.pausedUntil = now.Add(machineRatePause) }
