// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"flag"
	"testing"
	"time"
)

var (
	outageHistories = flag.Int("outage-histories", 8, "number of histories of late unstored starts for each way to lose a leader")
	outageFirst     = flag.Uint64("outage-first", 1000, "seed of the first of these histories")
)

// lostFor is how long a leader that is cut off or suspended stays so.
const lostFor = 7 * time.Second

// Guards against a task that runs twice after an outage of the store: a start that is not stored gets no answer, its leader is lost before the store is back, and a
// later incarnation of the worker carries it out while the next leader has the task run elsewhere. The next leader knew neither that the task had been
// started nor where: it waited for the answer of one incarnation, and a restart of the worker ended that wait. 102 of 440 histories failed.
func TestAnUnstoredStartAmongCrashesAndTakeoversStartsNothing(t *testing.T) {
	for _, x := range [...]struct {
		name string
		// lose loses the leader and returns it if it has to be restarted.
		lose func(h *history) *entry
		// second is set if the next leader is killed as well.
		second bool
	}{
		{"killed", (*history).killLeader, false},
		{"two killed", (*history).killLeader, true},
		{"cut off", (*history).cutOffLeader, false},
		{"suspended", (*history).suspendLeader, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			for i := range *outageHistories {
				runOutageHistory(t, *outageFirst+uint64(i), func(h *history, seed uint64) []*entry {
					h.outageWithLateStarts(seed)
					lost := []*entry{x.lose(h)}
					h.crashRepeatedly(8, seed)
					if x.second {
						lost = append(lost, h.killLeader())
					}
					h.crashRepeatedly(8, seed)
					return lost
				})
			}
		})
	}
}

// runOutageHistory runs a history in which all restarted workers keep their IDs. It plays the script three times under load; the script returns the entries that it has killed.
func runOutageHistory(t *testing.T, seed uint64, script func(h *history, seed uint64) []*entry) {
	runOutageHistoryOf(t, seed, 6*time.Second, script)
}

// runOutageHistoryOf is runOutageHistory with tasks that take up to extra longer than the shortest ones.
func runOutageHistoryOf(t *testing.T, seed uint64, extra time.Duration, script func(h *history, seed uint64) []*entry) {
	workers := historyWorkers * (1 + int(seed%2))
	_, wrong := runHistoryWith(t, seed, workers, simCapacity, 1, func(h *history) {
		h.beforeCheck = func() { h.excludeGivenUp() }
		h.maxExtraTime = extra
		h.submitLoad(time.Second, 60*time.Millisecond)
		for range 3 {
			h.restartEntries(script(h, seed))
			h.submitLoad(4*time.Second, 300*time.Millisecond)
		}
		h.healAndCheck()
	})
	for _, v := range wrong[:min(len(wrong), 3)] {
		t.Errorf("seed %d, one of %d: %s", seed, len(wrong), v)
	}
}

// outageWithLateStarts begins an outage of the store. Once the leader starts tasks without the store, most of its starts get no answer and are carried out late.
func (h *history) outageWithLateStarts(seed uint64) {
	h.outageWithLateStartsFor(time.Duration(500+100*(seed%4))*time.Millisecond, 0.7, seed)
}

// outageWithLateStartsFor is outageWithLateStarts with a share of late starts for a while.
func (h *history) outageWithLateStartsFor(span time.Duration, share float64, seed uint64) {
	h.mu.Lock()
	h.storeDownUntil = time.Now().Add(time.Duration(2800+200*(seed%5))*time.Millisecond + span.Truncate(500*time.Millisecond))
	h.mu.Unlock()
	h.submitLoad(2300*time.Millisecond, 80*time.Millisecond)
	h.setLate(share)
	h.submitLoad(span, 20*time.Millisecond)
	h.setLate(0)
}

// crashRepeatedly crashes busy workers a number of times. They restart under their IDs within the next interval.
func (h *history) crashRepeatedly(times int, seed uint64) {
	for range times {
		time.Sleep(180 * time.Millisecond)
		h.crashBusy(6, time.Duration(50+100*(seed%3))*time.Millisecond)
	}
}

// killLeader kills the leader and returns it.
func (h *history) killLeader() *entry {
	e := h.leader()
	h.kill(e)
	return e
}

// cutOffLeader cuts the leader off from everything else. It goes on running.
func (h *history) cutOffLeader() *entry {
	name := h.leader().name
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions = append(h.partitions, partition{inside: func(p string) bool { return p == name }, until: time.Now().Add(lostFor), in: true, out: true})
	return nil
}

// suspendLeader suspends the leader's machine.
func (h *history) suspendLeader() *entry {
	h.suspend(h.leader().name, lostFor)
	return nil
}

// restartEntries restarts the entries that were killed, each once.
func (h *history) restartEntries(lost []*entry) {
	for i, e := range lost {
		if e != nil && (i == 0 || e != lost[0]) {
			h.restartEntry(e)
		}
	}
}

// Guards against a task that runs twice, or waits for long, when two leaders in a row send its start in an outage of the store each and both attempts are carried out late.
func TestUnstoredStartsOfTwoLeadersInARowStartNothing(t *testing.T) {
	for i := range *outageHistories {
		runOutageHistory(t, *outageFirst+uint64(i), func(h *history, seed uint64) []*entry {
			h.outageWithLateStarts(seed)
			lost := []*entry{h.killLeader()}
			time.Sleep(time.Duration(2500+250*(seed%8)) * time.Millisecond)
			h.outageWithLateStarts(seed)
			lost = append(lost, h.killLeader())
			h.crashRepeatedly(16, seed)
			return lost
		})
	}
}

// Guards against a task that runs twice because its step is taken for one that the lost leader can't have reached: short tasks end in the outage, and that leader starts the
// steps after them.
func TestLaterStepsOfJobsThatEndInAnOutageStartOnce(t *testing.T) {
	for i := range *outageHistories {
		seed := *outageFirst + uint64(i)
		runOutageHistoryOf(t, seed, time.Duration(100+300*(seed%4))*time.Millisecond, func(h *history, seed uint64) []*entry {
			h.storedFirst = true
			time.Sleep(25 * time.Second)                            // the orders of the leaders before are settled
			h.submitLoad(600*time.Millisecond, 10*time.Millisecond) // more than the workers can run at once
			h.outageWithLateStartsFor(1500*time.Millisecond, 0.4, seed)
			lost := []*entry{h.killLeader()}
			h.crashRepeatedly(16, seed)
			return lost
		})
	}
}

// Guards against a task that runs twice: it starts again where its run has failed, starts of both leaders are held up, and the worker crashes.
func TestTasksThatFailAfterAnOutageStartOnce(t *testing.T) {
	for i := range *outageHistories {
		runOutageHistoryOf(t, *outageFirst+uint64(i), 500*time.Millisecond, func(h *history, seed uint64) []*entry {
			h.mu.Lock()
			h.failRate = 0.4
			h.mu.Unlock()
			h.outageWithLateStarts(seed)
			lost := []*entry{h.killLeader()}
			time.Sleep(2 * time.Second)
			h.setLate(0.1 * float64(1+seed%5))
			h.submitLoad(time.Second, 40*time.Millisecond)
			h.crashRepeatedly(10, seed)
			h.setLate(0)
			h.crashRepeatedly(6, seed)
			h.mu.Lock()
			h.failRate = 0
			h.mu.Unlock()
			return lost
		})
	}
}
