// SPDX-License-Identifier: MIT

package pool

import (
	runtimemetrics "runtime/metrics"
	"time"
)

// latency tells how long goroutines of this process lately waited for the processor. The zero value has seen nothing.
type latency struct {
	sample [1]runtimemetrics.Sample
	before []uint64
}

// latencyMetric is the runtime's histogram of the time that goroutines wait between being ready and running, in seconds.
const latencyMetric = "/sched/latencies:seconds"

// since returns the wait that a part of all waits since the last call were under; 0 with none.
func (l *latency) since(part float64) time.Duration {
	l.sample[0].Name = latencyMetric
	runtimemetrics.Read(l.sample[:])
	if l.sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0 // a runtime without it
	}
	h := l.sample[0].Value.Float64Histogram()
	total := uint64(0)
	news := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		news[i] = n
		if i < len(l.before) {
			news[i] -= l.before[i]
		}
		total += news[i]
	}
	l.before = append(l.before[:0], h.Counts...)
	under := uint64(part * float64(total))
	for i, n := range news {
		if n > under && total > 0 {
			return time.Duration(h.Buckets[i] * float64(time.Second)) // the bucket's lower bound, which is never infinite here
		}
		under -= min(n, under)
	}
	return 0
}
