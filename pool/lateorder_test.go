// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"testing"
	"time"
)

// The story. Looked for after workers that come back under their IDs: a task starts on a worker by an order that had got no answer, while
// another run of it goes on elsewhere, or after one was done.
//
//  1. A start gets no answer. Its worker crashes, and is back under its ID soon.
//  2. The next life tells that it runs nothing, and the task starts elsewhere.
//  3. The first order is carried out now: it names the ID, and the new life has seen no token that is above the order's.
//
// The cause: what refuses an order that comes late, a token that the worker has seen or a stop of the run, ended with the life; its deadline is a time
// of the clock before. All calls of a term carried one token, so that the next life's answer fenced nothing of what the life before was told.
//
// The evidence: the starts that doubled a task bore the lower run number, and were carried out at a life that had answered before, under the same token;
// 15 of these 16 histories had them, and none once the token rose with each life.
func TestAnOrderForTheLifeBeforeStartsNothing(t *testing.T) {
	for seed := range uint64(16) {
		_, wrong := playReborn(t, seed, func(h *history) {
			h.settled = func() { h.forgiveUnlucky() }
			h.longest = 3 * time.Second
			h.load(time.Second, 60*time.Millisecond)
			for range 4 {
				h.setLate(0.5)
				h.load(300*time.Millisecond, 30*time.Millisecond)
				h.crashSome(4, time.Duration(50+50*(seed%6))*time.Millisecond)
				h.setLate(0)
				h.load(4*time.Second, 300*time.Millisecond)
			}
			h.settle()
		})
		for _, x := range wrong[:min(len(wrong), 3)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(wrong), x)
		}
	}
}

// Guards against a task that runs twice when its unanswered start passes the deadline, the worker crashes, and the next life under the worker's ID carries
// the start out before it has answered any call. A life does not inherit the tokens and stops of the life before.
func TestAnOrderThatTheLifeBeforeHasSettledStartsNothing(t *testing.T) {
	for seed := range uint64(32) {
		_, wrong := playReborn(t, seed, func(h *history) {
			h.settled = func() { h.forgiveUnlucky() }
			h.longest = 3 * time.Second
			h.load(time.Second, 60*time.Millisecond)
			for range 4 {
				h.setLate(0.8)
				h.load(300*time.Millisecond, 30*time.Millisecond)
				h.setLate(0)
				time.Sleep(1800 * time.Millisecond) // the deadlines are over
				h.crashSome(6, 50*time.Millisecond)
				h.load(4*time.Second, 300*time.Millisecond)
			}
			h.settle()
		})
		for _, x := range wrong[:min(len(wrong), 3)] {
			t.Errorf("seed %d, one of %d: %s", seed, len(wrong), x)
		}
	}
}

// setLate has workers carry out that share of orders late, without an answer.
func (h *history) setLate(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateShare = share
}
