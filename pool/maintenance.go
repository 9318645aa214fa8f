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
	"rackstep.dev/maintenance"
	"rackstep.dev/place"
)

// Timing of maintenance waves.
const (
	// maintenanceRetryPause is the pause after a maintenance call that was refused or not answered.
	maintenanceRetryPause = 500 * time.Millisecond
	// maintenanceMargin is added to the stated duration of a maintenance, which is counted from the answer to the call, to allow for the delivery
	// time of that answer.
	maintenanceMargin = 200 * time.Millisecond
	// shortWorkGrace is how long the tasks of an instance may take to end before they are stopped for its maintenance.
	shortWorkGrace = 2500 * time.Millisecond
	// maxWaitShare is the share of a wave's time during which it waits for a failing store to recover, and for capacity for the lasting tasks
	// that have to be moved.
	maxWaitShare = 0.6
	// waveStoreInterval is the maximum age of the stored time for which a wave that waits has been known.
	waveStoreInterval = time.Second
)

// waveState is the state of a maintenance wave.
type waveState struct {
	Wave
	// since is the time at which this leader learned of the wave, earlier the stored time for which earlier leaders had known it.
	since   time.Time
	earlier time.Duration
	// learned is when this entry first read of the wave, as the leader or before. It is zero if that is not known.
	learned time.Time
	// storedKnown is the time for which the wave had been known when it was last added to a batch.
	storedKnown time.Duration
	// begun holds the instances whose maintenance has begun. It is stored, so that no instance is emptied twice.
	begun map[string]bool
	// steps holds the instances that are being emptied or are under maintenance.
	steps map[string]*maintenanceStep
	// requested holds the instances whose maintenance this leader or an earlier one may have requested without learning that it has begun. It is
	// stored before the call is sent, because a delayed call may still be carried out under the next leader.
	requested map[string]bool
	// version is incremented with each change of begun and requested. storedVersion is the latest version in the store.
	version, storedVersion int
	// requestedVersion holds the version in which an instance was added to requested.
	requestedVersion map[string]int
	// running and finished are the state that is published for the operator. writing means that an update of it is in progress.
	running  bool
	finished bool
	writing  bool
	// wait is its waiting for bursts to end.
	wait waveWait
}

// markRequested records that a maintenance call is about to be made, and reports whether this is already stored.
func (w *waveState) markRequested(machine string) bool {
	if !w.requested[machine] {
		w.version++
		w.requested[machine], w.requestedVersion[machine] = true, w.version
	}
	return w.storedVersion >= w.requestedVersion[machine]
}

// clearRequested records that the maintenance has certainly not begun.
func (w *waveState) clearRequested(machine string) {
	w.version++
	delete(w.requested, machine)
}

// markBegun records that the maintenance has begun, or is not needed any more.
func (w *waveState) markBegun(machine string) {
	if !w.begun[machine] {
		w.version++
	}
	w.begun[machine] = true
	delete(w.requested, machine)
}

// maintenanceStep is the progress of one instance through a wave.
type maintenanceStep struct {
	// incarnation is the incarnation that the maintenance ends.
	incarnation string
	since       time.Time
	// inFlight means that a call is in progress, uncertain that a call got no answer, away that the maintenance has begun.
	inFlight, uncertain, away bool
	// noTimeLeft means that the wave can't wait any longer for capacity for the tasks that have to be moved.
	noTimeLeft bool
	// begun is the time of the answer to the call.
	begun     time.Time
	notBefore time.Time
}

// waveRequested is a request for a maintenance wave. Learned is when this entry first read it, which may be long before it leads.
type waveRequested struct {
	wave    Wave
	learned time.Time
}

func (m waveRequested) apply(c *session) {
	row := c.wave(m.wave.Number)
	if row.since.IsZero() {
		row.since = c.now()
		c.emit(event.WaveChanged, event.Subject{}, "wave=%d machines=%d most=%d within=%v", m.wave.Number, len(m.wave.Machines), m.wave.MaxAway, m.wave.Within)
	}
	row.Wave, row.learned = m.wave, m.learned
}

func (c *session) wave(n int64) *waveState {
	row := c.waveStates[n]
	if row == nil {
		row = &waveState{begun: make(map[string]bool), requested: make(map[string]bool), requestedVersion: make(map[string]int), steps: make(map[string]*maintenanceStep)}
		row.Number = n
		c.waveStates[n] = row
	}
	return row
}

// storedWave is the stored form of a wave.
type storedWave struct {
	Begun []string `cbor:"1,keyasint,omitempty"`
	// Known is the time for which the wave had been known.
	Known time.Duration `cbor:"2,keyasint,omitempty"`
	Asked []string      `cbor:"3,keyasint,omitempty"`
}

// restoreWave restores the wave that an earlier leader stored.
func (c *session) restoreWave(r feed.KeyedRecord) {
	var kept storedWave
	n, err := strconv.ParseInt(r.Key[len(waveKey):], 10, 64)
	if err != nil || !c.decodeRecord(r, &kept) {
		return
	}
	row := c.wave(n)
	row.earlier, row.storedKnown = kept.Known, kept.Known
	for _, m := range kept.Begun {
		row.begun[m] = true
	}
	for _, m := range kept.Asked {
		row.requested[m] = true
	}
}

// known returns the time for which the wave has been known, to this leader and earlier ones or to this entry. The time in which there was no leader
// is known only to the entry.
func (w *waveState) known(now time.Time) time.Duration {
	d := w.earlier + now.Sub(w.since)
	if !w.learned.IsZero() {
		d = max(d, now.Sub(w.learned))
	}
	return d
}

// refreshStored makes a wave that waits for a burst be stored again if the stored time for which it has been known is out of date. Nothing else of a
// waiting wave changes, and the next leader would wait as long again.
func (w *waveState) refreshStored(now time.Time) {
	if w.wait.held == 0 || w.version > w.storedVersion || w.known(now)-w.storedKnown < waveStoreInterval {
		return
	}
	w.storedKnown = w.known(now)
	w.version++
}

func (c *session) wavesDirty() bool {
	for _, row := range c.waveStates {
		if row.version > row.storedVersion {
			return true
		}
	}
	return false
}

// storeWaves adds the changed waves to a batch.
func (c *session) storeWaves(done *commitBatch, records []feed.KeyedRecord) []feed.KeyedRecord {
	for n, row := range c.waveStates {
		if row.version <= row.storedVersion {
			continue
		}
		row.storedKnown = row.known(c.now())
		kept := storedWave{Begun: slices.Sorted(maps.Keys(row.begun)), Known: row.storedKnown, Asked: slices.Sorted(maps.Keys(row.requested))}
		value, err := job.Encode(kept)
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{}, "wave=%d not stored: %v", n, err)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: waveKeyOf(n), Value: value})
		done.waves[n] = row.version
	}
	return records
}

// waveKeyOf returns the key of the stored record of a wave.
func waveKeyOf(n int64) string { return waveKey + strconv.FormatInt(n, 10) }

func (c *session) waveStored(n int64, version int) {
	c.waveStates[n].storedVersion = max(c.waveStates[n].storedVersion, version)
}

// runWaves advances all waves: it selects the next instances, empties them and requests their maintenance.
func (c *session) runWaves(now time.Time) {
	held := 0
	for _, row := range c.waveStates {
		if row.finished || row.since.IsZero() {
			continue
		}
		c.runWave(row, now)
		c.publishWave(row)
		held += row.wait.held
	}
	c.counts.heldInWaves.Update(float64(held))
}

func (c *session) runWave(row *waveState, now time.Time) {
	if now.Before(c.soleLeaderFrom) || c.machinesListedAt.Before(c.soleLeaderFrom) {
		return // the requests of the earlier leader are not known yet
	}
	for m := range row.requested {
		if row.steps[m] == nil && !row.begun[m] {
			c.startEmptying(row, m, now) // requested by an earlier leader
		}
	}
	c.markDue(row)
	row.refreshStored(now)
	away := c.countAway(row)
	storeFailing := c.storeFailing(now) && row.known(now) < time.Duration(maxWaitShare*float64(row.Within))
	if !storeFailing {
		next := c.nextInWave(row, now)
		for _, x := range next.Take {
			c.startEmptying(row, x.Name, now)
		}
		c.updateWaveWait(row, next, now)
	}
	for m, s := range row.steps {
		if s.away || s.inFlight || now.Before(s.notBefore) {
			continue
		}
		s.noTimeLeft = row.known(now) >= time.Duration(maxWaitShare*float64(row.Within))
		if !c.tryEmpty(m, s, now) || (storeFailing && !s.uncertain) {
			continue
		}
		alreadyCounted := s.uncertain || row.requested[m]
		if alreadyCounted || away < max(row.MaxAway, 1) {
			if !alreadyCounted {
				away++
			}
			if row.markRequested(m) {
				c.requestMaintenance(row, m, s)
			}
		}
	}
}

// markDue marks the workers of the instances whose maintenance has not begun yet, for placement.
func (c *session) markDue(row *waveState) {
	for _, m := range row.Machines {
		if w := c.listedWorkerOn(m); w != nil {
			w.candidate.MaintenanceDue = !row.begun[m]
		}
	}
}

// nextInWave returns the instances of the wave that are to be emptied next.
func (c *session) nextInWave(row *waveState, now time.Time) maintenance.Selection {
	w := maintenance.Wave{MaxAway: row.MaxAway, Out: len(row.steps), Remaining: len(row.steps), Within: row.Within, Elapsed: row.known(now), Each: c.Bounds().Maintenance}
	var waiting []maintenance.Candidate
	for _, m := range row.Machines {
		if s := row.steps[m]; s != nil {
			if incarnation := c.workers[s.incarnation]; incarnation != nil && !s.away && incarnation.candidate.Serving+incarnation.candidate.Filling > 0 {
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
		x := maintenance.Candidate{Name: m, Pool: c.machines[m].Pool, Drained: c.drains[c.machines[m].DataCentre] != nil}
		if incarnation := c.listedWorkerOn(m); incarnation != nil {
			x.Runs, x.Lasting = len(incarnation.runs), incarnation.candidate.Serving+incarnation.candidate.Filling
		}
		waiting = append(waiting, x)
	}
	return maintenance.Next(w, waiting, c.waveLoads)
}

// countAway returns the number of instances that are or may be under maintenance, and removes the steps of those that have returned.
func (c *session) countAway(row *waveState) int {
	away := 0
	for m, s := range row.steps {
		switch {
		case s.away && c.maintenanceOver(m, s):
			delete(row.steps, m)
		case s.mayBeAway() || row.requested[m]:
			away++
		}
	}
	for _, m := range row.Machines {
		if s := row.steps[m]; (s == nil || !s.mayBeAway()) && c.machines[m].State == MachineInMaintenance {
			away++ // begun by an earlier leader
		}
	}
	return away
}

// mayBeAway reports whether the instance is or may be under maintenance.
func (s *maintenanceStep) mayBeAway() bool { return s.inFlight || s.uncertain || s.away }

// maintenanceOver reports whether the maintenance has ended: its duration has passed, and either a new incarnation or the machine interface confirms
// it.
func (c *session) maintenanceOver(machine string, s *maintenanceStep) bool {
	end := s.begun.Add(c.Bounds().Maintenance + maintenanceMargin)
	if c.now().Before(end) {
		return false
	}
	if w := c.listedWorkerOn(machine); w != nil && w.Incarnation != s.incarnation && w.listedSince.After(s.begun) {
		return true
	}
	x, ok := c.machines[machine]
	return ok && c.machinesListedAt.After(end) && x.State != MachineInMaintenance
}

// startEmptying starts to empty an instance. If an earlier leader began its maintenance without storing that, the maintenance is requested again: the
// repeated call may be answered like the first one.
func (c *session) startEmptying(row *waveState, machine string, now time.Time) {
	begun := c.machines[machine].State == MachineInMaintenance && !c.inOtherWave(row, machine)
	s := &maintenanceStep{since: now, uncertain: row.requested[machine] || begun}
	if w := c.workerOn(machine); w != nil {
		w.beingEmptied = true
		s.incarnation = w.Incarnation
	}
	row.steps[machine] = s
}

// inOtherWave reports whether another wave has begun or requested the maintenance of the instance. The machine interface does not tell for which wave
// an instance is under maintenance. Without this check, the instance would be taken for one already begun by this wave, and its maintenance would be
// requested in excess of the wave's limit.
func (c *session) inOtherWave(row *waveState, machine string) bool {
	for _, o := range c.waveStates {
		if o != row && (o.begun[machine] || o.requested[machine]) {
			return true
		}
	}
	return false
}

func (c *session) listedWorkerOn(machine string) *worker {
	for _, w := range c.incarnationsByMachine[machine] {
		if w.listed {
			return w
		}
	}
	return nil
}

// workerOn returns the incarnation on an instance, preferring a listed one, or nil.
func (c *session) workerOn(machine string) *worker {
	if w := c.listedWorkerOn(machine); w != nil {
		return w
	}
	if incarnations := c.incarnationsByMachine[machine]; len(incarnations) > 0 {
		return incarnations[0]
	}
	return nil
}

// isKnownIdle reports whether an instance without a known incarnation certainly runs nothing: it has no worker, its worker is known to have ended, or
// all leases granted by earlier leaders have expired.
func (c *session) isKnownIdle(machine string, now time.Time) bool {
	x := c.machines[machine]
	return x.ID == "" || c.endedIncarnations[x.ID] || c.term.Number == 1 || c.earlierLeasesOver(now)
}

// tryEmpty reports whether the instance is empty, so that its maintenance interrupts nothing. It stops lasting tasks that their step may miss
// and that fit elsewhere, or that the wave can't wait for, and other tasks after shortWorkGrace.
func (c *session) tryEmpty(machine string, s *maintenanceStep, now time.Time) bool {
	w := c.workers[s.incarnation]
	if w == nil {
		w = c.workerOn(machine) // it may have been restarted or listed in the meantime
	}
	if w == nil {
		return c.isKnownIdle(machine, now)
	}
	if !w.answered || w.unreadRuns > 0 || !w.silentSince.IsZero() {
		return false // it is not known what runs there
	}
	s.incarnation = w.Incarnation
	w.beingEmptied = true
	for t := range w.runs {
		switch {
		case t.Stopping:
		case t.Spec().Lasting:
			if c.canDisrupt(t, now) && (s.noTimeLeft || c.fitsElsewhere(t, now)) {
				c.stopTask(w, t, "upkeep")
			}
		case now.Sub(s.since) > shortWorkGrace:
			c.stopTask(w, t, "upkeep")
		}
	}
	return len(w.runs) == 0
}

// fitsElsewhere reports whether another worker has capacity for the task now.
func (c *session) fitsElsewhere(t *job.Task, now time.Time) bool {
	g := &place.Group{Job: t.Job, Time: t.Time, Step: t.Step, Lasting: true}
	c.countPlacedTasks(g, t.Spec())
	pool := c.queue(t.Job).Pool
	for _, w := range c.workers {
		if w.Pool == pool && w.usable(now) && g.Fits(&w.candidate) > 0 {
			return true
		}
	}
	return false
}

// requestMaintenance calls the machine interface to begin the maintenance of the instance.
func (c *session) requestMaintenance(row *waveState, machine string, s *maintenanceStep) {
	now := c.now()
	if !c.confirmed(now) || !c.machineCalls.tryAcquire(c.Machines.PerSecond, now) {
		return
	}
	s.inFlight = true
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.callIfConfirmed(func() error { return c.Machines.Maintenance(ctx, machine, row.Number, c.term.Fence) })
		c.post(maintenanceAnswered{row: row, machine: machine, step: s, err: err})
	})
}

// maintenanceAnswered is the result of a maintenance call.
type maintenanceAnswered struct {
	row     *waveState
	machine string
	step    *maintenanceStep
	err     error
}

func (m maintenanceAnswered) apply(c *session) {
	m.step.inFlight = false
	now := c.now()
	c.machineCalls.release()
	switch {
	case m.err == nil:
		m.step.away, m.step.uncertain, m.step.begun = true, false, now
		m.row.markBegun(m.machine)
		if w := c.workers[m.step.incarnation]; w != nil {
			c.endIncarnation(w, "its upkeep has begun")
		}
		c.counts.maintenances.Inc(1)
		c.emit(event.UpkeepBegun, event.Subject{Instance: m.machine}, "wave=%d done=%d of %d", m.row.Number, len(m.row.begun), len(m.row.Machines))
		return
	case errors.Is(m.err, ErrTooMany):
		c.machineCalls.pause(now) // the step is retried unchanged
	case errors.Is(m.err, ErrBusy):
		m.step.uncertain = false
		m.row.clearRequested(m.machine) // it has not begun, and calls with a lower fencing token can't begin it any more
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrNotInWave):
		m.row.markBegun(m.machine) // the instance no longer exists or does not belong to the wave
		delete(m.row.steps, m.machine)
	default:
		m.step.uncertain = true
	}
	m.step.notBefore = now.Add(maintenanceRetryPause)
	c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "wave=%d err=%q", m.row.Number, m.err)
}

// publishWave writes the state of the wave for the operator after a change.
func (c *session) publishWave(row *waveState) {
	done := len(row.begun) >= len(row.Machines) && row.storedVersion >= row.version
	if row.writing || (row.running && !done) {
		return
	}
	row.writing = true
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.PutWave(ctx, row.Number, done)
		c.post(wavePublished{row: row, done: done, err: err})
	})
}

// wavePublished is the result of writing the state of a wave.
type wavePublished struct {
	row  *waveState
	done bool
	err  error
}

func (m wavePublished) apply(c *session) {
	m.row.writing = false
	if m.err != nil {
		return // retried with the next tick
	}
	m.row.running = true
	m.row.finished = m.done
	c.emit(event.WaveChanged, event.Subject{}, "wave=%d finished=%t", m.row.Number, m.done)
}
