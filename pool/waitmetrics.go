// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// waitMetrics holds the gauges of the tasks whose turn has come and that have no run that has begun.
type waitMetrics struct {
	// oldest is the longest time, in seconds, that a task has waited although it could run. byReason counts the waiting tasks.
	oldest   tally.Gauge
	byReason [waitReasonCount]tally.Gauge
}

func newWaitMetrics(scope tally.Scope) waitMetrics {
	m := waitMetrics{oldest: scope.Gauge("oldest_startable_task_seconds")}
	for r := waitNone + 1; r < waitReasonCount; r++ {
		m.byReason[r] = scope.Tagged(map[string]string{"reason": r.String()}).Gauge("tasks_waiting")
	}
	return m
}

// update sets the gauges. A process that no longer leads sets them to zero.
func (m *waitMetrics) update(waiting [waitReasonCount]int, oldest time.Duration) {
	m.oldest.Update(oldest.Seconds())
	for r := waitNone + 1; r < waitReasonCount; r++ {
		m.byReason[r].Update(float64(waiting[r]))
	}
}
