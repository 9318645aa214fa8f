// SPDX-License-Identifier: MIT

package pool

import (
	runtimemetrics "runtime/metrics"
	"time"
)

// schedLatency measures how long goroutines of this process wait for the processor. The zero value is ready for use.
type schedLatency struct {
	sample   [1]runtimemetrics.Sample
	previous []uint64
}

// schedLatencyMetric is the runtime's histogram of the time between a goroutine becoming runnable and running, in seconds.
const schedLatencyMetric = "/sched/latencies:seconds"

// quantile returns the given quantile of the waits since the last call, or 0 if there were none.
func (l *schedLatency) quantile(q float64) time.Duration {
	l.sample[0].Name = schedLatencyMetric
	runtimemetrics.Read(l.sample[:])
	if l.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0 // not supported by this runtime
	}
	h := l.sample[0].Value.Float64Histogram()
	total := uint64(0)
	delta := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		delta[i] = n
		if i < len(l.previous) {
			delta[i] -= l.previous[i]
		}
		total += delta[i]
	}
	l.previous = append(l.previous[:0], h.Counts...)
	below := uint64(q * float64(total))
	for i, n := range delta {
		if n > below && total > 0 {
			return time.Duration(h.Buckets[i] * float64(time.Second)) // the bucket's lower bound; it is not infinite, because waits are not negative
		}
		below -= min(n, below)
	}
	return 0
}
