// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/maintenance"
)

// Timing of the stored statistics.
const (
	// statsInterval is the minimum interval between two records of the statistics. They are added to batches that are sent anyway.
	statsInterval = 2 * time.Second
	// statsAge is the assumed age of the record when a new leader reads it: half of the interval and a short takeover. It is not computed, because clocks of
	// different instances are not compared.
	statsAge = 1500 * time.Millisecond
)

// storedStats holds a leader's run-time and load statistics of queues and pools, as stored for the next leader.
type storedStats struct {
	Queues map[string]storedQueueStats `cbor:"1,keyasint,omitempty"`
	// Ran holds the mean run time of each pool in seconds.
	Ran    map[string]float64     `cbor:"2,keyasint,omitempty"`
	Bursts map[string]storedBurst `cbor:"3,keyasint,omitempty"`
	Gap    time.Duration          `cbor:"4,keyasint,omitempty"`
	Last   string                 `cbor:"5,keyasint,omitempty"`
	Round  bool                   `cbor:"6,keyasint,omitempty"`
}

// storedQueueStats holds the statistics of one queue, see queueStats.
type storedQueueStats struct {
	Runs   int     `cbor:"1,keyasint,omitempty"`
	Mean   float64 `cbor:"2,keyasint,omitempty"`
	Spread float64 `cbor:"3,keyasint,omitempty"`
	Wrong  float64 `cbor:"4,keyasint,omitempty"`
	Work   float64 `cbor:"5,keyasint,omitempty"`
}

// storedBurst holds the load statistics of one pool, see maintenance.Burst.
type storedBurst struct {
	// Ago is the time since the burst began, or 0 if the pool had none.
	Ago    time.Duration `cbor:"1,keyasint,omitempty"`
	Need   float64       `cbor:"2,keyasint,omitempty"`
	Loaded bool          `cbor:"3,keyasint,omitempty"`
	Missed bool          `cbor:"4,keyasint,omitempty"`
	Ended  bool          `cbor:"5,keyasint,omitempty"`
	Used   float64       `cbor:"6,keyasint,omitempty"`
}

// appendStats appends the statistics to a batch if statsInterval has passed.
func (c *session) appendStats(now time.Time, records []feed.KeyedRecord) []feed.KeyedRecord {
	if now.Sub(c.statsStoredAt) < statsInterval || len(c.statsByQueue) == 0 {
		return records
	}
	c.statsStoredAt = now
	value, err := job.Encode(c.collectStats(now))
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "lessons not kept: %v", err)
		return records // the tables do not depend on the statistics
	}
	return append(records, feed.KeyedRecord{Key: statsKey, Value: value})
}

func (c *session) collectStats(now time.Time) storedStats {
	k := storedStats{
		Queues: make(map[string]storedQueueStats), Ran: make(map[string]float64), Bursts: make(map[string]storedBurst),
		Gap: c.bursts.Interval, Last: c.bursts.Last, Round: c.bursts.SecondRound,
	}
	for name, l := range c.statsByQueue {
		k.Queues[name] = storedQueueStats{Runs: l.runs, Mean: l.mean, Spread: l.variance, Wrong: l.estimateError, Work: l.work}
	}
	for name, p := range c.pools {
		if p.meanRunSeconds > 0 {
			k.Ran[name] = p.meanRunSeconds
		}
	}
	for name, t := range c.bursts.Pools {
		kept := storedBurst{Need: t.Need, Loaded: t.Active, Missed: t.Missed, Ended: t.Ended, Used: t.Used}
		if !t.Began.IsZero() {
			kept.Ago = now.Sub(t.Began)
		}
		k.Bursts[name] = kept
	}
	return k
}

// restoreStats restores the statistics that an earlier leader stored.
func (c *session) restoreStats(r feed.KeyedRecord, now time.Time) {
	var k storedStats
	if !c.decodeRecord(r, &k) {
		return
	}
	for name, l := range k.Queues {
		c.statsByQueue[name] = &queueStats{runs: l.Runs, mean: l.Mean, variance: l.Spread, estimateError: l.Wrong, work: l.Work}
	}
	for name, ran := range k.Ran {
		c.pool(name).meanRunSeconds = ran
	}
	c.bursts = maintenance.Bursts{Pools: make(map[string]*maintenance.Burst, len(k.Bursts)), Interval: k.Gap, Last: k.Last, SecondRound: k.Round}
	for name, t := range k.Bursts {
		row := &maintenance.Burst{Need: t.Need, Active: t.Loaded, Missed: t.Missed, Ended: t.Ended, Used: t.Used}
		if t.Ago > 0 {
			row.Began = now.Add(-t.Ago - statsAge)
		}
		c.bursts.Pools[name] = row
	}
}
