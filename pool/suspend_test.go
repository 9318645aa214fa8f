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

// suspensions holds the suspensions of one machine. During one, its steady clock stands still and it sends nothing.
type suspensions struct {
	mu    sync.Mutex
	slept time.Duration
	began time.Time
	until time.Time
}

// steady reads the machine's steady clock.
func (n *suspensions) steady() time.Time {
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

// clockOf returns the clock of an entry's machine, which detects suspensions.
func (sim *simulation) clockOf(entry string) *clock.Clock {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n := sim.suspensions[entry]
	if n == nil {
		n = new(suspensions)
		sim.suspensions[entry] = n
	}
	return &clock.Clock{Monotonic: n.steady, BootTime: func() time.Duration { return time.Since(sim.startedAt) }}
}

// suspend suspends the machine of an entry.
func (h *history) suspend(entry string, span time.Duration) {
	h.mu.Lock()
	n, until := h.suspensions[entry], time.Now().Add(span)
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

// TestASuspendedEntryDoesNotTrustStaleProof guards against tasks that run twice after a suspension, as they did when proofs
// of the lead were timed by the steady clock. That clock does not count a suspension: a leader that wakes extends leases and
// starts tasks under a lead that has passed on, and a successor suspended during its takeover believes that the leader before
// stopped only just now.
func TestASuspendedEntryDoesNotTrustStaleProof(t *testing.T) {
	for _, span := range [...]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 7 * time.Second, 12 * time.Second, 30 * time.Second} {
		for _, x := range [...]struct {
			name string
			play func(h *history, span time.Duration)
		}{
			{"the leader", func(h *history, span time.Duration) {
				h.suspend(h.leader().name, span)
				h.submitLoad(span, 150*time.Millisecond)
			}},
			{"the leader, in an outage", func(h *history, span time.Duration) {
				h.mu.Lock()
				h.storeDownUntil = time.Now().Add(span + 2*time.Second)
				h.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				h.suspend(h.leader().name, span)
				time.Sleep(span)
			}},
			{"the leader, beside a cut", func(h *history, span time.Duration) {
				h.partitionZone(h.busiestOtherZone(), span+time.Second, false)
				time.Sleep(300 * time.Millisecond)
				h.suspend(h.leader().name, span)
				h.submitLoad(span, 150*time.Millisecond)
			}},
			{"the next leader, taking over", func(h *history, span time.Duration) {
				previous := h.leader()
				h.partitionZone(h.zoneOf(previous), span+4*time.Second, false)
				h.awaitNewLeader(previous)
				h.suspend(h.leader().name, span)
				h.submitLoad(span, 150*time.Millisecond)
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
				leader := h.leader()
				for _, e := range h.entries {
					if e != leader {
						h.suspend(e.name, span)
					}
				}
				time.Sleep(span - 200*time.Millisecond)
				h.partitionZone(h.zoneOf(leader), 9*time.Second, false)
				h.submitLoad(2*time.Second, 100*time.Millisecond)
			}},
		} {
			t.Run(fmt.Sprintf("%s for %v", x.name, span), func(t *testing.T) {
				for seed := range uint64(3 * *histories / 8) {
					_, violations := runHistory(t, seed, func(h *history) {
						h.maxExtraTime = 15 * time.Second // these still run when a lease ends
						h.submitLoad(400*time.Millisecond, 40*time.Millisecond)
						h.maxExtraTime = 600 * time.Millisecond
						h.submitLoad(time.Duration(200+100*seed)*time.Millisecond, 50*time.Millisecond)
						x.play(h, span)
						h.submitLoad(2*time.Second, 100*time.Millisecond)
						h.healAndCheck()
					})
					for _, y := range violations {
						t.Errorf("seed %d: %s", seed, y)
					}
				}
			})
		}
	}
}

// awaitNewLeader waits until another entry leads, for at most five seconds.
func (h *history) awaitNewLeader(previous *entry) {
	for end := time.Now().Add(5 * time.Second); h.leader() == previous && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestTakeoversAmongSuspensionsKeepEveryPromise guards against violations in random takeover histories in which machines are
// also suspended.
func TestTakeoversAmongSuspensionsKeepEveryPromise(t *testing.T) {
	for i := range *histories {
		seed := *first + uint64(i)
		_, violations := runHistory(t, seed, func(h *history) {
			h.repeatsBeforeFencing = seed%2 == 0
			for range historySteps {
				h.randomStep()
				h.mu.Lock()
				span, pick := time.Duration(100+h.r.IntN(9000))*time.Millisecond, h.r.IntN(6)
				e := h.entries[h.r.IntN(len(h.entries))]
				h.mu.Unlock()
				switch pick {
				case 0:
					h.suspend(e.name, span)
				case 1:
					h.suspend(h.leader().name, span)
				}
			}
			h.healAndCheck()
		})
		for _, x := range violations {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}
