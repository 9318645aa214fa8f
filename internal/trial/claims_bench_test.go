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

// Sizes of BenchmarkClaims.
const (
	claimsPerSecond  = 2000
	claimsDuration       = 5 * time.Second
	appendsPerSecond = 300
)

// BenchmarkClaims sends requests that are not to be repeated to a whole site, twice each in one case of twenty, and counts
// what became of them and what that cost the log. Callers, entries, targets and the log share the process.
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
	time.Sleep(2 * time.Second) // until all links are up and the owners agree
	site.Platform.SetFaults(standin.Faults{AppendsPerSecond: appendsPerSecond})
	before, _ := site.Platform.Appends()
	load := &Load{Site: site, Work: 5 * time.Millisecond}
	used := processorTime()
	sendClaims(load, rate)
	used = processorTime() - used
	after, refused := site.Platform.Appends()
	reportClaims(b, site, load, float64(rate)*claimsDuration.Seconds())
	b.ReportMetric(float64(after-before)/claimsDuration.Seconds(), "appends/s")
	b.ReportMetric(float64(refused), "appends-refused")
	b.ReportMetric(used.Seconds()/claimsDuration.Seconds(), "cores")
}

// sendClaims sends the requests at the rate, whatever becomes of those before, and waits for all.
func sendClaims(load *Load, rate int) {
	callers := load.Site.Callers()
	var all sync.WaitGroup
	begin := time.Now()
	for i := range int(float64(rate) * claimsDuration.Seconds()) {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		copies := 1
		if i%20 == 0 {
			copies = 2
		}
		notAfter := time.Now().Add(time.Minute)
		for k := range copies {
			all.Go(func() {
				load.record(load.Send(callers[(i+k)%len(callers)], load.onceRequest(ServiceName(0), fmt.Sprint("c", i), notAfter)))
			})
		}
	}
	all.Wait()
}

func reportClaims(b *testing.B, site *Site, load *Load, wanted float64) {
	told := load.Replies()
	if broken := site.Evaluate(told).Violations(); len(broken) > 0 {
		b.Fatal(broken[0])
	}
	whole := make(map[string]bool)
	var times []time.Duration
	for _, t := range told {
		if t.Outcome == serve.OutcomeWhole {
			whole[t.Mark] = true
			times = append(times, t.Latency)
		}
	}
	slices.Sort(times)
	b.ReportMetric(100*float64(len(whole))/wanted, "whole-%")
	b.ReportMetric(float64(times[len(times)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100])/1e6, "p99-ms")
}
