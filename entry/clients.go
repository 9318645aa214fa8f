// SPDX-License-Identifier: MIT

package entry

import (
	"github.com/uber-go/tally/v4"

	"rackstep.dev/config"
	"rackstep.dev/event"
	"rackstep.dev/internal/limit"
)

// newGuard returns the guard of a process, which bounds what its clients may cost together.
func newGuard(l limit.Limits, metrics tally.Scope, events *event.Ring, entry string) *limit.Guard {
	return &limit.Guard{Limits: l, Metrics: metrics, Report: func(text string) {
		events.Emit(event.ClientsLimited, event.Subject{Entry: entry}, text)
	}}
}

// newCallerGuard returns the guard of an entry's own interface, whose callers may send longer headers than those of jobs do.
func newCallerGuard(s config.Settings, o Options, m metrics, events *event.Ring) *limit.Guard {
	callers := limit.Limits{HeaderBytes: callerHeaderBytes, HeaderLines: callerHeaderLines}
	return newGuard(o.Limits.Or(callers).Or(limit.For(o.MemoryMB, o.MaxFiles)), m.scope, events, s.Entry)
}

// callerHeaderBytes and callerHeaderLines limit the headers of callers, which are forwarded to targets.
const (
	callerHeaderBytes = 32 << 10
	callerHeaderLines = 500
)
