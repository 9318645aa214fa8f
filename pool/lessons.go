// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/upkeep"
)

// Times of keeping what is learned.
const (
	// lessonsEvery is the pause between two records of it; they ride on batches that leave anyway.
	lessonsEvery = 2 * time.Second
	// lessonsLate is how old the record is taken to be when a new leader reads it: half of the pause and a short takeover.
	// Clocks of different instances are not compared.
	lessonsLate = 1500 * time.Millisecond
)

// keptLessons is what a leader has learned of queues and pools, for the next one.
type keptLessons struct {
	Queues map[string]keptLesson `cbor:"1,keyasint,omitempty"`
	// Ran are the mean times of a run in each pool, in seconds.
	Ran   map[string]float64  `cbor:"2,keyasint,omitempty"`
	Turns map[string]keptTurn `cbor:"3,keyasint,omitempty"`
	Gap   time.Duration       `cbor:"4,keyasint,omitempty"`
	Last  string              `cbor:"5,keyasint,omitempty"`
	Round bool                `cbor:"6,keyasint,omitempty"`
}

type keptLesson struct {
	Runs   int     `cbor:"1,keyasint,omitempty"`
	Mean   float64 `cbor:"2,keyasint,omitempty"`
	Spread float64 `cbor:"3,keyasint,omitempty"`
	Wrong  float64 `cbor:"4,keyasint,omitempty"`
	Work   float64 `cbor:"5,keyasint,omitempty"`
}

type keptTurn struct {
	// Ago is how long ago the turn had begun; 0 when there was none.
	Ago    time.Duration `cbor:"1,keyasint,omitempty"`
	Need   float64       `cbor:"2,keyasint,omitempty"`
	Loaded bool          `cbor:"3,keyasint,omitempty"`
	Missed bool          `cbor:"4,keyasint,omitempty"`
	Ended  bool          `cbor:"5,keyasint,omitempty"`
	Used   float64       `cbor:"6,keyasint,omitempty"`
}

// keepLessons adds what is learned to a batch, now and then.
func (c *session) keepLessons(now time.Time, records []feed.KeyedRecord) []feed.KeyedRecord {
	if now.Sub(c.lessonsAt) < lessonsEvery || len(c.lessons) == 0 {
		return records
	}
	c.lessonsAt = now
	value, err := job.Encode(c.learnedSoFar(now))
	if err != nil {
		c.emit(event.RecordRefused, event.Subject{Entry: c.Entry}, "lessons not kept: %v", err)
		return records // the tables do not depend on it
	}
	return append(records, feed.KeyedRecord{Key: lessonsKey, Value: value})
}

func (c *session) learnedSoFar(now time.Time) keptLessons {
	k := keptLessons{
		Queues: make(map[string]keptLesson), Ran: make(map[string]float64), Turns: make(map[string]keptTurn),
		Gap: c.turns.Interval, Last: c.turns.Last, Round: c.turns.SecondRound,
	}
	for name, l := range c.lessons {
		k.Queues[name] = keptLesson{Runs: l.runs, Mean: l.mean, Spread: l.spread, Wrong: l.wrong, Work: l.work}
	}
	for name, p := range c.pools {
		if p.ran > 0 {
			k.Ran[name] = p.ran
		}
	}
	for name, t := range c.turns.Pools {
		kept := keptTurn{Need: t.Need, Loaded: t.Active, Missed: t.Missed, Ended: t.Ended, Used: t.Used}
		if !t.Began.IsZero() {
			kept.Ago = now.Sub(t.Began)
		}
		k.Turns[name] = kept
	}
	return k
}

// restoreLessons goes on from what an earlier leader had learned.
func (c *session) restoreLessons(r feed.KeyedRecord, now time.Time) {
	var k keptLessons
	if !c.read(r, &k) {
		return
	}
	for name, l := range k.Queues {
		c.lessons[name] = &lesson{runs: l.Runs, mean: l.Mean, spread: l.Spread, wrong: l.Wrong, work: l.Work}
	}
	for name, ran := range k.Ran {
		c.pool(name).ran = ran
	}
	c.turns = upkeep.Bursts{Pools: make(map[string]*upkeep.Burst, len(k.Turns)), Interval: k.Gap, Last: k.Last, SecondRound: k.Round}
	for name, t := range k.Turns {
		row := &upkeep.Burst{Need: t.Need, Active: t.Loaded, Missed: t.Missed, Ended: t.Ended, Used: t.Used}
		if t.Ago > 0 {
			row.Began = now.Add(-t.Ago - lessonsLate)
		}
		c.turns.Pools[name] = row
	}
}
