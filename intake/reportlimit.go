// SPDX-License-Identifier: MIT

package intake

import (
	"sync"
	"time"
)

// maxReports is the maximum number of logged refusals per second.
const maxReports = 20

// reportLimit limits how many lines are logged per second. The zero value is ready to use.
type reportLimit struct {
	mu      sync.Mutex
	since   time.Time
	count   int
	omitted int
}

// allow reports whether another line may be logged now, and how many were omitted before it.
func (l *reportLimit) allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.count = now, 0
	}
	if l.count >= maxReports {
		l.omitted++
		return 0, false
	}
	l.count++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
