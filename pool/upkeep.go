// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/place"
	"rackstep.dev/upkeep"
)

// Times of a wave.
const (
	// callAgain is the pause before an instance that refused, or gave no answer, is asked again.
	callAgain = 500 * time.Millisecond
	// upkeepMargin is added to the time of an upkeep, for the way of the answer that it is counted from.
	upkeepMargin = 200 * time.Millisecond
	// patience is how long an instance is left to finish short work before the work is stopped for its upkeep.
	patience = 2500 * time.Millisecond
	// waitsFor is the part of a wave's time in which it waits: for a store that fails, and for places for what lasts.
	waitsFor = 0.6
)

// waveRow is a row of the table of waves.
type waveRow struct {
	Wave
	// since is when this leader learned of the wave, earlier how long earlier leaders had known of it by what was kept.
	since   time.Time
	earlier time.Duration
	// begun are the instances whose upkeep has begun, kept so that none is emptied twice.
	begun map[string]bool
	// steps are the instances being emptied or away.
	steps map[string]*upkeepStep
	// asked are the instances whose upkeep this leader or an earlier one may have asked for, without knowing that it has
	// begun. That is kept before the call leaves: one that is held up may still be carried out under the next leader.
	asked map[string]bool
	// version rises with each change of begun and asked, keptVersion is the newest that is kept.
	version, keptVersion int
	// askedAt is the version since which an instance is in asked.
	askedAt map[string]int
	// running and finished say which state the operator reads, writing that another is on its way.
	running  bool
	finished bool
	writing  bool
}

// ask notes that the upkeep is about to be asked for; it says whether that is kept.
func (w *waveRow) ask(machine string) bool {
	if !w.asked[machine] {
		w.version++
		w.asked[machine], w.askedAt[machine] = true, w.version
	}
	return w.keptVersion >= w.askedAt[machine]
}

// unask notes that the upkeep has surely not begun.
func (w *waveRow) unask(machine string) {
	w.version++
	delete(w.asked, machine)
}

// begin notes that the upkeep has begun, or will never have to.
func (w *waveRow) begin(machine string) {
	if !w.begun[machine] {
		w.version++
	}
	w.begun[machine] = true
	delete(w.asked, machine)
}

// upkeepStep is one instance on its way through a wave.
type upkeepStep struct {
	// life is the one to be ended.
	life  string
	since time.Time
	// asking says that a call is on its way, doubt that one got no answer, away that the upkeep has begun.
	asking, doubt, away bool
	// pressed says that the wave has no time to wait for a place for what must leave.
	pressed bool
	// begun is when the call was answered.
	begun     time.Time
	notBefore time.Time
}

// waveRead is a request for a wave.
type waveRead struct{ wave Wave }

func (m waveRead) apply(c *session) {
	row := c.wave(m.wave.Number)
	if row.since.IsZero() {
		row.since = c.now()
		c.emit(event.WaveChanged, event.Subject{}, "wave=%d machines=%d most=%d within=%v", m.wave.Number, len(m.wave.Machines), m.wave.MaxAway, m.wave.Within)
	}
	row.Wave = m.wave
}

func (c *session) wave(n int64) *waveRow {
	row := c.waveRows[n]
	if row == nil {
		row = &waveRow{begun: make(map[string]bool), asked: make(map[string]bool), askedAt: make(map[string]int), steps: make(map[string]*upkeepStep)}
		row.Number = n
		c.waveRows[n] = row
	}
	return row
}

// keptWave is what is kept of a wave.
type keptWave struct {
	Begun []string `cbor:"1,keyasint,omitempty"`
	// Known is how long the wave had been known.
	Known time.Duration `cbor:"2,keyasint,omitempty"`
	Asked []string      `cbor:"3,keyasint,omitempty"`
}

// restoreWave reads what an earlier leader kept of a wave.
func (c *session) restoreWave(r feed.KeyedRecord) {
	var kept keptWave
	n, err := strconv.ParseInt(r.Key[len(waveKey):], 10, 64)
	if err != nil || !c.read(r, &kept) {
		return
	}
	row := c.wave(n)
	row.earlier = kept.Known
	for _, m := range kept.Begun {
		row.begun[m] = true
	}
	for _, m := range kept.Asked {
		row.asked[m] = true
	}
}

// known returns how long the wave has been known.
func (w *waveRow) known(now time.Time) time.Duration { return w.earlier + now.Sub(w.since) }

func (c *session) wavesDirty() bool {
	for _, row := range c.waveRows {
		if row.version > row.keptVersion {
			return true
		}
	}
	return false
}

// keepWaves adds what has changed of the waves to a batch.
func (c *session) keepWaves(done *commitEnded, records []feed.KeyedRecord) []feed.KeyedRecord {
	for n, row := range c.waveRows {
		if row.version <= row.keptVersion {
			continue
		}
		kept := keptWave{Begun: slices.Sorted(maps.Keys(row.begun)), Known: row.known(c.now()), Asked: slices.Sorted(maps.Keys(row.asked))}
		value, err := job.Encode(kept)
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{}, "wave=%d not kept: %v", n, err)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: waveKeyOf(n), Value: value})
		done.waves[n] = row.version
	}
	return records
}

// waveKeyOf returns the key of what is kept of a wave.
func waveKeyOf(n int64) string { return waveKey + strconv.FormatInt(n, 10) }

func (c *session) waveKept(n int64, version int) {
	c.waveRows[n].keptVersion = max(c.waveRows[n].keptVersion, version)
}

// runWaves takes each wave's next instances out, empties them and has them maintained.
func (c *session) runWaves(now time.Time) {
	for _, row := range c.waveRows {
		if row.finished || row.since.IsZero() {
			continue
		}
		c.runWave(row, now)
		c.tellWave(row)
	}
}

func (c *session) runWave(row *waveRow, now time.Time) {
	if now.Before(c.aloneFrom) || c.machinesRead.Before(c.aloneFrom) {
		return // what the earlier leader has begun is not known yet
	}
	for m := range row.asked {
		if row.steps[m] == nil && !row.begun[m] {
			c.takeOut(row, m, now) // by an earlier leader
		}
	}
	c.markDue(row)
	away := c.countAway(row)
	fails := c.storeFails(now) && row.known(now) < time.Duration(waitsFor*float64(row.Within))
	if !fails {
		for _, x := range c.nextOfWave(row, now) {
			c.takeOut(row, x.Name, now)
		}
	}
	for m, s := range row.steps {
		if s.away || s.asking || now.Before(s.notBefore) {
			continue
		}
		s.pressed = row.known(now) >= time.Duration(waitsFor*float64(row.Within))
		if !c.emptied(m, s, now) || (fails && !s.doubt) {
			continue
		}
		counted := s.doubt || row.asked[m]
		if counted || away < max(row.MaxAway, 1) {
			if !counted {
				away++
			}
			if row.ask(m) {
				c.askUpkeep(row, m, s)
			}
		}
	}
}

// markDue tells placement which instances the wave has still to empty.
func (c *session) markDue(row *waveRow) {
	for _, m := range row.Machines {
		if w := c.workerOf(m); w != nil {
			w.room.UpkeepDue = !row.begun[m]
		}
	}
}

// nextOfWave returns the instances of the wave to be emptied now.
func (c *session) nextOfWave(row *waveRow, now time.Time) []upkeep.Candidate {
	w := upkeep.Wave{MaxAway: row.MaxAway, Out: len(row.steps), Remaining: len(row.steps), Within: row.Within, Elapsed: row.known(now), Each: c.Bounds().Upkeep}
	var waiting []upkeep.Candidate
	for _, m := range row.Machines {
		if s := row.steps[m]; s != nil {
			if k := c.workers[s.life]; k != nil && !s.away && k.room.Serving+k.room.Filling > 0 {
				w.OutLasting++
			}
			continue
		}
		if row.begun[m] {
			continue
		}
		w.Remaining++
		if c.moves[m] != nil {
			continue
		}
		x := upkeep.Candidate{Name: m, Pool: c.machines[m].Pool}
		if k := c.workerOf(m); k != nil {
			x.Runs, x.Lasting = len(k.runs), k.room.Serving+k.room.Filling
		}
		waiting = append(waiting, x)
	}
	if len(waiting) == 0 {
		return nil
	}
	return upkeep.Next(w, waiting, c.surplus)
}

// countAway counts the instances that are away for their upkeep, and ends the steps of those that are back.
func (c *session) countAway(row *waveRow) int {
	away := 0
	for m, s := range row.steps {
		switch {
		case s.away && c.back(m, s):
			delete(row.steps, m)
		case s.counts() || row.asked[m]:
			away++
		}
	}
	for _, m := range row.Machines {
		if s := row.steps[m]; (s == nil || !s.counts()) && c.machines[m].State == MachineInUpkeep {
			away++ // an earlier leader began it
		}
	}
	return away
}

// counts says whether the instance is away, or may be.
func (s *upkeepStep) counts() bool { return s.asking || s.doubt || s.away }

// back says whether the upkeep is over: its time has passed, and a new life or the machine interface says so.
func (c *session) back(machine string, s *upkeepStep) bool {
	over := s.begun.Add(c.Bounds().Upkeep + upkeepMargin)
	if c.now().Before(over) {
		return false
	}
	if w := c.workerOf(machine); w != nil && w.Life != s.life && w.since.After(s.begun) {
		return true
	}
	x, ok := c.machines[machine]
	return ok && c.machinesRead.After(over) && x.State != MachineInUpkeep
}

// takeOut begins to empty an instance. One whose upkeep was begun by an earlier leader that did not keep it is asked
// for again: that call may be answered as if it were the first.
func (c *session) takeOut(row *waveRow, machine string, now time.Time) {
	begun := c.machines[machine].State == MachineInUpkeep && !c.inOtherWave(row, machine)
	s := &upkeepStep{since: now, doubt: row.asked[machine] || begun}
	if w := c.lifeOf(machine); w != nil {
		w.out = true
		s.life = w.Life
	}
	row.steps[machine] = s
}

// inOtherWave says whether an instance that is in upkeep may be so for another wave: the machine interface does not say for which. It is then not taken for begun
// here, where it would count as away already and be asked for beyond the cap.
func (c *session) inOtherWave(row *waveRow, machine string) bool {
	for _, o := range c.waveRows {
		if o != row && (o.begun[machine] || o.asked[machine]) {
			return true
		}
	}
	return false
}

func (c *session) workerOf(machine string) *worker {
	for _, w := range c.lives[machine] {
		if w.listed {
			return w
		}
	}
	return nil
}

// lifeOf returns the life of an instance, also one that is no longer listed, or nil.
func (c *session) lifeOf(machine string) *worker {
	if w := c.workerOf(machine); w != nil {
		return w
	}
	if lives := c.lives[machine]; len(lives) > 0 {
		return lives[0]
	}
	return nil
}

// nothingRuns says whether surely nothing runs on an instance of which no life is in the tables: it has none, the one that it
// has is known to have ended, or all that an earlier leader leased is over.
func (c *session) nothingRuns(machine string, now time.Time) bool {
	x := c.machines[machine]
	return x.ID == "" || c.over[x.ID] || c.term.Number == 1 || c.doubtOver(now)
}

// emptied says whether nothing runs on the instance that its upkeep would end without leave; it stops what it may.
func (c *session) emptied(machine string, s *upkeepStep, now time.Time) bool {
	w := c.workers[s.life]
	if w == nil {
		w = c.lifeOf(machine) // it may have been restarted, or listed only now
	}
	if w == nil {
		return c.nothingRuns(machine, now)
	}
	if !w.heard || w.unread > 0 || !w.silentSince.IsZero() {
		return false // nobody knows what runs there
	}
	s.life = w.Life
	w.out = true
	for t := range w.runs {
		switch {
		case t.Stopping:
		case t.Spec().Lasting:
			if c.mayTakeAway(t, now) && (s.pressed || c.hasPlace(t, now)) {
				c.stopTask(w, t, "upkeep")
			}
		case now.Sub(s.since) > patience:
			c.stopTask(w, t, "upkeep")
		}
	}
	return len(w.runs) == 0
}

// hasPlace says whether another worker could take the task at once.
func (c *session) hasPlace(t *job.Task, now time.Time) bool {
	g := &place.Group{Job: t.Job, Time: t.Time, Step: t.Step, Lasting: true}
	c.countGroup(g, t.Spec())
	pool := c.queue(t.Job).Pool
	for _, w := range c.workers {
		if w.Pool == pool && w.usable(now) && g.Fits(&w.room) > 0 {
			return true
		}
	}
	return false
}

// askUpkeep has the instance maintained.
func (c *session) askUpkeep(row *waveRow, machine string, s *upkeepStep) {
	now := c.now()
	if !c.confirmed(now) || !c.desk.take(c.Machines.PerSecond, now) {
		return
	}
	s.asking = true
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.whileConfirmed(func() error { return c.Machines.Upkeep(ctx, machine, row.Number, c.term.Fence) })
		c.post(upkeepAsked{row: row, machine: machine, step: s, err: err})
	})
}

// upkeepAsked is the answer to a call for an upkeep, or the lack of one.
type upkeepAsked struct {
	row     *waveRow
	machine string
	step    *upkeepStep
	err     error
}

func (m upkeepAsked) apply(c *session) {
	m.step.asking = false
	now := c.now()
	c.desk.done()
	switch {
	case m.err == nil:
		m.step.away, m.step.doubt, m.step.begun = true, false, now
		m.row.begin(m.machine)
		if w := c.workers[m.step.life]; w != nil {
			c.lose(w, "its upkeep has begun")
		}
		c.counts.upkeeps.Inc(1)
		c.emit(event.UpkeepBegun, event.Subject{Instance: m.machine}, "wave=%d done=%d of %d", m.row.Number, len(m.row.begun), len(m.row.Machines))
		return
	case errors.Is(m.err, ErrTooMany):
		c.desk.rest(now) // the step stays as it was
	case errors.Is(m.err, ErrBusy):
		m.step.doubt = false
		m.row.unask(m.machine) // it has not begun, and no call with a lower token can begin it any more
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrNotInWave):
		m.row.begin(m.machine) // it is gone, or was never part of it
		delete(m.row.steps, m.machine)
	default:
		m.step.doubt = true
	}
	m.step.notBefore = now.Add(callAgain)
	c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "wave=%d err=%q", m.row.Number, m.err)
}

// tellWave writes the wave's state for the operator when it has changed.
func (c *session) tellWave(row *waveRow) {
	done := len(row.begun) >= len(row.Machines) && row.keptVersion >= row.version
	if row.writing || (row.running && !done) {
		return
	}
	row.writing = true
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.PutWave(ctx, row.Number, done)
		c.post(waveTold{row: row, done: done, err: err})
	})
}

// waveTold says that the operator can read the wave's state.
type waveTold struct {
	row  *waveRow
	done bool
	err  error
}

func (m waveTold) apply(c *session) {
	m.row.writing = false
	if m.err != nil {
		return // written again with the next tick
	}
	m.row.running = true
	m.row.finished = m.done
	c.emit(event.WaveChanged, event.Subject{}, "wave=%d finished=%t", m.row.Number, m.done)
}
