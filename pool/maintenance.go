// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/maintenance"
)

// Timing of maintenance waves.
const (
	// maintenanceMargin is added to the stated duration of a maintenance, which is counted from the answer to the call, to allow for the delivery
	// time of that answer.
	maintenanceMargin = 200 * time.Millisecond
	// maxWaitShare is the share of a wave's time during which it waits for a failing store to recover, and for capacity for the lasting tasks
	// that have to be moved.
	maxWaitShare = 0.6
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
	wait     waveWait
	// stalled holds the instances that were given back because emptying them made no progress. waitsForSlot is set while no further ones are
	// emptied, because those that were could not be maintained.
	stalled      map[string]bool
	waitsForSlot bool
}

// maintenanceStep is the progress of one instance through a wave.
type maintenanceStep struct {
	// instanceCall is the call to begin the maintenance.
	instanceCall
	// incarnation is the incarnation on the instance that has to be emptied.
	incarnation string
	since       time.Time
	// away means that the maintenance has begun.
	away bool
	// noTimeLeft means that the wave can't wait any longer for capacity for the tasks that have to be moved.
	noTimeLeft bool
	// begun is the time of the answer to the call.
	begun     time.Time
	notBefore time.Time
	progress  emptyingProgress
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
		row = &waveState{begun: make(map[string]bool), requested: make(map[string]bool), requestedVersion: make(map[string]int), stalled: make(map[string]bool), steps: make(map[string]*maintenanceStep)}
		row.Number = n
		c.waveStates[n] = row
	}
	return row
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
	noTimeLeft := row.known(now) >= time.Duration(maxWaitShare*float64(row.Within))
	storeFailing := c.storeFailing(now) && !noTimeLeft
	c.releaseStalled(row, now)
	row.waitsForSlot = row.waitsForSlot && away >= max(row.MaxAway, 1)
	if !storeFailing && !row.waitsForSlot {
		next := c.nextInWave(row, noTimeLeft, now)
		for _, x := range next.Take {
			c.startEmptying(row, x.Name, now)
		}
		c.updateWaveWait(row, next, now)
	}
	for m, s := range row.steps {
		if s.away || s.inFlight || now.Before(s.notBefore) {
			continue
		}
		s.noTimeLeft = noTimeLeft
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
func (c *session) nextInWave(row *waveState, noTimeLeft bool, now time.Time) maintenance.Selection {
	w := maintenance.Wave{MaxAway: row.MaxAway, Out: len(row.steps), Remaining: len(row.steps), Within: row.Within, Elapsed: row.known(now), Each: c.Bounds().Maintenance}
	var waiting []maintenance.Candidate
	retries := false
	for _, m := range row.Machines {
		if s := row.steps[m]; s != nil {
			if incarnation := c.workers[s.incarnation]; incarnation != nil && !s.away && incarnation.hasLasting() {
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
			if c.isNeeded(incarnation, now) && !noTimeLeft {
				continue
			}
			if row.stalled[m] && incarnation.hasLasting() {
				if retries || !c.canEmpty(incarnation, noTimeLeft, now) {
					continue
				}
				retries = true // only one, since the next one has to be judged beside it
			}
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
			c.reopen(s.incarnation)
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

// maintenanceOver reports whether the maintenance has ended: its duration has passed, and either a new incarnation, an incarnation that has answered
// since then, or the machine interface confirms it.
func (c *session) maintenanceOver(machine string, s *maintenanceStep) bool {
	end := s.begun.Add(c.Bounds().Maintenance + maintenanceMargin)
	if c.now().Before(end) {
		return false
	}
	if w := c.listedWorkerOn(machine); w != nil {
		isNew := w.Incarnation != s.incarnation && w.listedSince.After(s.begun)
		if isNew || w.askedAt.After(end) {
			return true
		}
	}
	x, ok := c.machines[machine]
	return ok && c.machinesListedAt.After(end) && x.State != MachineInMaintenance
}
