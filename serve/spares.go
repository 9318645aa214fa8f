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
	// spareTime is how fast what a data centre told of its free slots loses its worth.
	spareTime = 10 * time.Millisecond
	// usualSpare is what is expected of a data centre that has told nothing for long.
	usualSpare = 2.0
	// leastSpare is what must be expected of a data centre for a request to be sent there in search of a free slot.
	leastSpare = 0.5
	// relaySpare is how much better another data centre's queue must be than the nearest one's to be worth the relay.
	relaySpare = 2.0
)

// spares remembers what data centres told of their free slots, by service; the zero value is empty.
//
// The number is of free slots less waiting requests, so it is negative where requests wait.
type spares struct {
	mu   sync.Mutex
	told map[sparePlace]spare
}

type sparePlace struct{ service, dataCentre string }

type spare struct {
	slots float64
	at    time.Time
}

// tell remembers what the data centre has told now.
func (x *spares) tell(service, dataCentre string, slots int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.told == nil {
		x.told = make(map[sparePlace]spare)
	}
	x.told[sparePlace{service, dataCentre}] = spare{float64(slots), now}
}

// use counts a request that was sent to the data centre since it told.
func (x *spares) use(service, dataCentre string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := sparePlace{service, dataCentre}
	if s, ok := x.told[key]; ok {
		s.slots--
		x.told[key] = s
	}
}

// expect returns how many free slots are to be expected, from what was told and how long ago.
func (x *spares) expect(service, dataCentre string, now time.Time) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.told[sparePlace{service, dataCentre}]
	if !ok {
		return usualSpare
	}
	worth := math.Exp(-float64(now.Sub(s.at)) / float64(spareTime))
	return s.slots*worth + usualSpare*(1-worth)
}

// latest returns what the data centre told a moment ago, and false when it has told nothing since.
func (x *spares) latest(service, dataCentre string, now time.Time) (float64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.told[sparePlace{service, dataCentre}]
	return s.slots, ok && now.Sub(s.at) <= spareTime
}

// byExpectation orders the data centres by the free slots to be expected, and leaves out those where none is.
func (x *spares) byExpectation(service string, dataCentres []string, now time.Time) []string {
	expected := make(map[string]float64, len(dataCentres))
	var out []string
	for _, dc := range dataCentres {
		if e := x.expect(service, dc, now); e >= leastSpare {
			expected[dc] = e
			out = append(out, dc)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(expected[b], expected[a]) })
	return out
}

// shortestFirst moves the data centre with the shortest queue to the front, if it is worth the relay.
func (x *spares) shortestFirst(service string, dataCentres []string, now time.Time) {
	best := 0
	value, ok := x.latest(service, dataCentres[0], now)
	if !ok {
		return
	}
	value += relaySpare
	for i, dc := range dataCentres {
		if v, ok := x.latest(service, dc, now); ok && i > 0 && v > value {
			best, value = i, v
		}
	}
	dataCentres[0], dataCentres[best] = dataCentres[best], dataCentres[0]
}
