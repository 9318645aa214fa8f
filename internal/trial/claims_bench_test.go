// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// Settings of BenchmarkClaims.
const (
	claimsPerSecond  = 2000
	claimsDuration   = 5 * time.Second
	appendsPerSecond = 300
)

// BenchmarkClaims sends requests that must not be repeated to a whole site, one in twenty as two copies, and reports their
// outcomes and latency and the appends to the log. Callers, entries, targets and the log share the process.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range [...]int{200, 1000, claimsPerSecond} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				claimAtRate(b, rate)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func claimAtRate(b *testing.B, rate int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site := startPublished(ctx, b, Spec{DataCentres: 4, EntriesEach: 2, Services: 1, RunnersEach: 12, Cores: 1, RackSize: 4})
	defer site.Stop()
	time.Sleep(2 * time.Second) // until all links are up and the entries agree on the owners
	site.Platform.SetFaults(standin.Faults{AppendsPerSecond: appendsPerSecond})
	before, _ := site.Platform.Appends()
	load := &Load{Site: site, Work: 5 * time.Millisecond}
	cpuTime := processorTime()
	sendClaims(load, rate)
	cpuTime = processorTime() - cpuTime
	after, refused := site.Platform.Appends()
	reportClaims(b, site, load, float64(rate)*claimsDuration.Seconds())
	b.ReportMetric(float64(after-before)/claimsDuration.Seconds(), "appends/s")
	b.ReportMetric(float64(refused), "appends-refused")
	b.ReportMetric(cpuTime.Seconds()/claimsDuration.Seconds(), "cores")
}

// sendClaims sends requests at a fixed rate without waiting for earlier replies, then waits for all of them.
func sendClaims(load *Load, rate int) {
	callers := load.Site.Callers()
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(float64(rate) * claimsDuration.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		copies := 1
		if i%20 == 0 {
			copies = 2
		}
		notAfter := time.Now().Add(time.Minute)
		for k := range copies {
			wg.Go(func() {
				load.record(load.Send(callers[(i+k)%len(callers)], load.onceRequest(ServiceName(0), fmt.Sprint("c", i), notAfter)))
			})
		}
	}
	wg.Wait()
}

func reportClaims(b *testing.B, site *Site, load *Load, sent float64) {
	replies := load.Replies()
	if violations := site.Evaluate(replies).Violations(); len(violations) > 0 {
		b.Fatal(violations[0])
	}
	whole := make(map[string]bool)
	var latencies []time.Duration
	for _, t := range replies {
		if t.Outcome == serve.OutcomeWhole {
			whole[t.Mark] = true
			latencies = append(latencies, t.Latency)
		}
	}
	slices.Sort(latencies)
	b.ReportMetric(100*float64(len(whole))/sent, "whole-%")
	b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
}
