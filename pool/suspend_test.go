// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"rackstep.dev/internal/clock"
)

// naps are the suspensions of one machine: its steady clock stands still meanwhile, and nothing that it sends leaves.
type naps struct {
	mu    sync.Mutex
	slept time.Duration
	began time.Time
	until time.Time
}

// steady is the machine's steady clock.
func (n *naps) steady() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.began.IsZero() && !now.Before(n.until) {
		n.slept += n.until.Sub(n.began)
		n.began = time.Time{}
	}
	if !n.began.IsZero() {
		now = n.began
	}
	return now.Add(-n.slept)
}

// clockOf returns the clock of an entry's machine, which goes on by what the machine is told of suspensions.
func (w *world) clockOf(entry string) *clock.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.naps[entry]
	if n == nil {
		n = new(naps)
		w.naps[entry] = n
	}
	return &clock.Clock{Steady: n.steady, Boot: func() time.Duration { return time.Since(w.since) }}
}

// suspend suspends the machine of an entry.
func (h *history) suspend(entry string, span time.Duration) {
	h.mu.Lock()
	n, until := h.naps[entry], time.Now().Add(span)
	h.frozen[entry] = until
	h.mu.Unlock()
	n.steady() // ends an earlier suspension
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.began.IsZero() {
		n.began = time.Now()
	}
	n.until = until
}

// The story. A machine may be suspended for seconds. Its steady clock does not count that, so that a leader that wakes takes its proof for
// fresh: it extends leases and starts tasks under a lead that has passed on, and a successor that sleeps between two steps of taking over takes the
// leader before for one that stopped just now.
//
// The evidence: this test. With proofs by the steady clock tasks ran twice.
func TestWhoWakesFromASuspensionKnowsNothing(t *testing.T) {
	for _, span := range [...]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 7 * time.Second, 12 * time.Second, 30 * time.Second} {
		for _, x := range [...]struct {
			name string
			play func(h *history, span time.Duration)
		}{
			{"the leader", func(h *history, span time.Duration) {
				h.suspend(h.leader().name, span)
				h.load(span, 150*time.Millisecond)
			}},
			{"the leader, in an outage", func(h *history, span time.Duration) {
				h.mu.Lock()
				h.storeDown = time.Now().Add(span + 2*time.Second)
				h.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				h.suspend(h.leader().name, span)
				time.Sleep(span)
			}},
			{"the leader, beside a cut", func(h *history, span time.Duration) {
				h.cutZone(h.busiestOtherZone(), span+time.Second, false)
				time.Sleep(300 * time.Millisecond)
				h.suspend(h.leader().name, span)
				h.load(span, 150*time.Millisecond)
			}},
			{"the next leader, taking over", func(h *history, span time.Duration) {
				dead := h.leader()
				h.cutZone(h.zoneOf(dead), span+4*time.Second, false)
				h.awaitOther(dead)
				h.suspend(h.leader().name, span)
				h.load(span, 150*time.Millisecond)
			}},
			{"the leader, in a wave", func(h *history, span time.Duration) {
				for range 4 {
					h.submit(true, 5)
				}
				time.Sleep(2 * time.Second)
				h.requestWave(11)
				for range 4 {
					for end := time.Now().Add(2 * time.Second); !h.stopping() && time.Now().Before(end); {
						time.Sleep(10 * time.Millisecond)
					}
					h.suspend(h.leader().name, span)
					time.Sleep(span + time.Second)
				}
			}},
			{"those that do not lead", func(h *history, span time.Duration) {
				leads := h.leader()
				for _, e := range h.entries {
					if e != leads {
						h.suspend(e.name, span)
					}
				}
				time.Sleep(span - 200*time.Millisecond)
				h.cutZone(h.zoneOf(leads), 9*time.Second, false)
				h.load(2*time.Second, 100*time.Millisecond)
			}},
		} {
			t.Run(fmt.Sprintf("%s for %v", x.name, span), func(t *testing.T) {
				for seed := range uint64(3 * *histories / 8) {
					_, wrong := play(t, seed, func(h *history) {
						h.longest = 15 * time.Second // what runs when a lease ends
						h.load(400*time.Millisecond, 40*time.Millisecond)
						h.longest = 600 * time.Millisecond
						h.load(time.Duration(200+100*seed)*time.Millisecond, 50*time.Millisecond)
						x.play(h, span)
						h.load(2*time.Second, 100*time.Millisecond)
						h.settle()
					})
					for _, y := range wrong {
						t.Errorf("seed %d: %s", seed, y)
					}
				}
			})
		}
	}
}

// awaitOther waits until another entry leads, but not for long.
func (h *history) awaitOther(than *entry) {
	for end := time.Now().Add(5 * time.Second); h.leader() == than && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestTakeoversAmongSuspensionsKeepEveryPromise plays random histories in which machines are suspended too.
func TestTakeoversAmongSuspensionsKeepEveryPromise(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, wrong := play(t, seed, func(h *history) {
			h.answersAgain = seed%2 == 0
			for range historySteps {
				h.step()
				h.mu.Lock()
				nap, coin := time.Duration(100+h.r.IntN(9000))*time.Millisecond, h.r.IntN(6)
				e := h.entries[h.r.IntN(len(h.entries))]
				h.mu.Unlock()
				switch coin {
				case 0:
					h.suspend(e.name, nap)
				case 1:
					h.suspend(h.leader().name, nap)
				}
			}
			h.settle()
		})
		for _, x := range wrong {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
