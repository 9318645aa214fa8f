// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/maintenance"
)

// waveWaitLogInterval is the minimum interval between two log lines about the waiting of a wave.
const waveWaitLogInterval = time.Second

// waveWait is the state of a wave's wait for bursts to end.
type waveWait struct {
	// held is the number of instances that wait now.
	held int
	// logged reports that the beginning of the wait was logged and its end was not. loggedAt is the time of the latest log line.
	logged   bool
	loggedAt time.Time
	// most is the maximum of held since the beginning was logged.
	most int
}

// observeWaveLoads updates what waves have to know of the pools.
func (c *session) observeWaveLoads(pools []maintenance.Pool, now time.Time) {
	lasting := make(map[string]float64, len(pools))
	for _, p := range pools {
		lasting[p.Name] = c.pool(p.Name).load.lasting
	}
	c.waveLoads = maintenance.PoolLoads(pools, &c.bursts, lasting, c.waveHorizon(), now)
}

// waveHorizon returns how far ahead waves look for bursts: an instance that is taken out now is back after that time.
func (c *session) waveHorizon() time.Duration {
	return c.Bounds().Maintenance + maintenanceMargin + shortWorkGrace
}

// updateWaveWait records which instances of the wave wait for bursts to end, and logs the beginning and end of waiting.
func (c *session) updateWaveWait(row *waveState, next maintenance.Selection, now time.Time) {
	w := &row.wait
	w.held = 0
	for _, n := range next.Held {
		w.held += n
	}
	w.most = max(w.most, w.held)
	if w.logged == (w.held > 0) || now.Sub(w.loggedAt) < waveWaitLogInterval {
		return
	}
	w.logged = !w.logged
	if w.logged {
		w.loggedAt, w.most = now, w.held
		c.emit(event.WaveHeld, event.Subject{}, "wave=%d state=begun held=%d in=%s out=%d begun=%d of %d elapsed=%v at-most=%v",
			row.Number, w.held, poolCounts(next.Held), len(row.steps), len(row.begun), len(row.Machines), roundToMillis(row.known(now)), roundToMillis(next.HeldFor))
		return
	}
	why := "no-burst-needs-them"
	if next.HeldFor == 0 {
		why = "time-requires-them"
	}
	c.emit(event.WaveHeld, event.Subject{}, "wave=%d state=ended why=%s lasted=%v held=%d begun=%d of %d elapsed=%v",
		row.Number, why, roundToMillis(now.Sub(w.loggedAt)), w.most, len(row.begun), len(row.Machines), roundToMillis(row.known(now)))
	w.loggedAt = now
}

// poolCounts formats numbers of instances by pool for the log.
func poolCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(parts, ",")
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
