// SPDX-License-Identifier: MIT

package serve

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// reportDecay is the time in which the weight of a report falls to 1/e.
	reportDecay = 10 * time.Millisecond
	// defaultEstimate is the estimated number of free slots without a recent report.
	defaultEstimate = 2.0
	// minEstimate is the estimated number of free slots below which a data centre is not tried for a free slot.
	minEstimate = 0.5
	// minRelayGain is by how many slots another data centre's report must exceed the nearest one's to justify a relay.
	minRelayGain = 2.0
)

// freeSlotTable holds the latest report of each data centre's free slots, by service. The zero value is empty.
//
// The reported number is that of free slots minus waiting requests, so it is negative where requests wait.
type freeSlotTable struct {
	mu      sync.Mutex
	reports map[freeSlotKey]freeSlotReport
}

type freeSlotKey struct{ service, dataCentre string }

type freeSlotReport struct {
	slots float64
	at    time.Time
}

// report stores the data centre's report.
func (t *freeSlotTable) report(service, dataCentre string, slots int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[freeSlotKey]freeSlotReport)
	}
	t.reports[freeSlotKey{service, dataCentre}] = freeSlotReport{float64(slots), now}
}

// consume subtracts a request that was sent to the data centre after its report.
func (t *freeSlotTable) consume(service, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := freeSlotKey{service, dataCentre}
	if r, ok := t.reports[key]; ok {
		r.slots--
		t.reports[key] = r
	}
}

// estimate returns the estimated number of free slots. It moves from the report to defaultEstimate as the report ages.
func (t *freeSlotTable) estimate(service, dataCentre string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.reports[freeSlotKey{service, dataCentre}]
	if !ok {
		return defaultEstimate
	}
	weight := math.Exp(-float64(now.Sub(r.at)) / float64(reportDecay))
	return r.slots*weight + defaultEstimate*(1-weight)
}

// fresh returns the data centre's report, and false when there is none or it is older than reportDecay.
func (t *freeSlotTable) fresh(service, dataCentre string, now time.Time) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.reports[freeSlotKey{service, dataCentre}]
	return r.slots, ok && now.Sub(r.at) <= reportDecay
}

// byEstimate returns the data centres in descending order of their estimates, without those below minEstimate.
func (t *freeSlotTable) byEstimate(service string, dataCentres []string, now time.Time) []string {
	estimates := make(map[string]float64, len(dataCentres))
	var out []string
	for _, dc := range dataCentres {
		if e := t.estimate(service, dc, now); e >= minEstimate {
			estimates[dc] = e
			out = append(out, dc)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(estimates[b], estimates[a]) })
	return out
}

// preferShortestQueue swaps the data centre with the shortest queue to the front, if it is better than the first one by more than
// minRelayGain. It changes nothing without a fresh report of the first one.
func (t *freeSlotTable) preferShortestQueue(service string, dataCentres []string, now time.Time) {
	best := 0
	value, ok := t.fresh(service, dataCentres[0], now)
	if !ok {
		return
	}
	value += minRelayGain
	for i, dc := range dataCentres {
		if v, ok := t.fresh(service, dc, now); ok && i > 0 && v > value {
			best, value = i, v
		}
	}
	dataCentres[0], dataCentres[best] = dataCentres[best], dataCentres[0]
}
