// SPDX-License-Identifier: MIT

package feed

import (
	"net/http"
	"sync/atomic"
	"time"

	"rackstep.dev/internal/clock"
)

// Clock estimates the platform's time, so that the clocks of the entries need not agree.
//
// It takes the Date header of the service's latest response and adds the time that has passed since by the local clock.
type Clock struct {
	// Local is this machine's clock; the steady clock when nil.
	Local  *clock.Clock
	latest atomic.Pointer[dateSample]
}

// dateSample is a Date header and the local time at which it was received.
type dateSample struct {
	serverTime time.Time // the response's Date
	localTime  time.Time // when it was received, by Local
}

// Now returns the platform's estimated time, or the local time before the first response.
func (c *Clock) Now() time.Time {
	now := c.Local.ExactNow()
	if r := c.latest.Load(); r != nil {
		return r.serverTime.Add(now.Sub(r.localTime))
	}
	return now
}

func (c *Clock) update(h http.Header) {
	if c == nil {
		return
	}
	serverTime, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return
	}
	c.latest.Store(&dateSample{serverTime: serverTime, localTime: c.Local.ExactNow()})
}
