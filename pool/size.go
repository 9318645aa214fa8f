// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/upkeep"
)

// Times of moves.
const (
	// moveAgain is the pause before an instance that could not be moved is tried again.
	moveAgain = 600 * time.Millisecond
	// moveLost is how long an instance may take to appear in its new pool, beyond the time of the move.
	moveLost = 4 * time.Second
	// ownWord is how long this leader's own knowledge of an instance goes before the machine interface's list.
	ownWord = 3 * time.Second
)

// moveStep is an instance on its way to another pool.
type moveStep struct {
	to, life string
	since    time.Time
	// asking says that a call is on its way, moved that it was done, queued that one is to leave as soon as it may.
	asking, moved, queued bool
	notBefore             time.Time
}

// sizePools moves instances to where the work is.
func (c *session) sizePools(now time.Time) {
	if c.config == nil || c.machinesRead.IsZero() || now.Before(c.aloneFrom) {
		return
	}
	if c.storeFails(now) {
		c.dropMoves()
		return
	}
	c.carryMoves(now)
	c.dropQueued()
	pools, instances := c.sizes(now)
	c.surplus = upkeep.Surplus(pools)
	for _, m := range upkeep.Moves(pools, instances) {
		c.beginMove(m, now)
	}
}

// sizes returns the pools and the instances as package upkeep wants them.
func (c *session) sizes(now time.Time) ([]upkeep.Pool, []upkeep.Instance) {
	rows := make(map[string]*upkeep.Pool)
	var pools []upkeep.Pool
	for name, p := range c.config.Pools {
		pools = append(pools, upkeep.Pool{Name: name, Headroom: p.Headroom})
	}
	for i := range pools {
		rows[pools[i].Name] = &pools[i]
	}
	c.countLoads()
	var instances []upkeep.Instance
	for _, name := range c.instanceNames() {
		m := c.machines[name]
		if c.inWave(name) {
			continue // it serves nobody until its upkeep is over
		}
		x := upkeep.Instance{Name: name, Pool: m.Pool, Labels: m.Labels, Fixed: m.State != MachineUp || c.fixed(name, now), Drained: c.drains[m.DataCentre] != nil}
		if s := c.moves[name]; s != nil {
			x.Pool = s.to
		}
		w := c.lifeOf(name)
		switch {
		case w != nil && !w.out && (w.Leaving || w.misread || !w.silentSince.IsZero()):
			continue // it is of no use to anybody
		case w != nil:
			x.Runs = len(w.runs)
			x.Fixed = x.Fixed || !w.heard || !w.listed
			x.Lasting = w.room.Serving + w.room.Filling
		case !c.config.Pools[x.Pool].Headroom && c.moves[name] == nil && m.State != MachineMoving:
			// It is down, or cut off for longer than its lease and its entry in the list. While such instances counted, a pool whose
			// tasks all waited for a cut to end got none in their place.
			continue
		}
		instances = append(instances, x)
		if row := rows[x.Pool]; row != nil && !x.Drained {
			row.Have++
			c.pool(x.Pool).load.able += c.able(name, now)
		}
	}
	for _, row := range rows {
		if !row.Headroom {
			c.wants(row, now)
		}
	}
	c.keepTurns(rows, now)
	c.expect(rows, now)
	c.lack(rows, instances, now)
	c.tellSizes(rows, now)
	return pools, instances
}

// sizeToldEvery bounds how often a pool's size is told.
const sizeToldEvery = time.Second

// tellSizes tells what each pool wants and why, once it has changed by more than it moves all the time.
func (c *session) tellSizes(rows map[string]*upkeep.Pool, now time.Time) {
	for name, row := range rows {
		p := c.pool(name)
		if row.Headroom || now.Sub(p.toldAt) < sizeToldEvery || !changedMuch(p.told, *row) {
			continue
		}
		p.told, p.toldAt = *row, now
		need, used, known := c.turns.FullDemand(name, now)
		c.emit(event.PoolSized, event.Subject{Entry: c.Entry}, "pool=%s have=%d want=%.0f keep=%.0f idle=%.0f soon=%.0f lasting=%.0f running=%.0f waiting=%.0f turn=%.0f used=%.0f known=%t",
			name, row.Have, row.Want, row.Min, row.LongTermNeed, row.SoonNeed, p.load.lasting, p.load.running, p.load.waitingRoom, need, used, known)
	}
}

// changedMuch says whether a pool's size has changed by an eighth and by two instances.
func changedMuch(before, now upkeep.Pool) bool {
	for _, x := range [...][2]float64{{before.Want, now.Want}, {before.LongTermNeed, now.LongTermNeed}, {before.SoonNeed, now.SoonNeed}, {float64(before.Have), float64(now.Have)}} {
		if d := math.Abs(x[0] - x[1]); d >= 2 && d > max(x[0], x[1])/8 {
			return true
		}
	}
	return false
}

// instanceNames returns the names of all instances in their order, by which equal ones are told apart: the same one is chosen with each look.
func (c *session) instanceNames() []string {
	if len(c.names) != len(c.machines) {
		c.names = slices.Sorted(maps.Keys(c.machines))
	}
	return c.names
}

// fixed says whether an instance is on its way, or could lately not be moved.
func (c *session) fixed(machine string, now time.Time) bool {
	if s := c.moves[machine]; s != nil {
		return true
	}
	if now.Before(c.unmovable[machine]) {
		return true
	}
	return false
}

// inWave says whether an instance is being emptied for its upkeep, or away.
func (c *session) inWave(machine string) bool {
	for _, row := range c.waveRows {
		if row.steps[machine] != nil {
			return true
		}
	}
	return false
}

// beginMove takes an instance out of its pool.
func (c *session) beginMove(m upkeep.Move, now time.Time) {
	s := &moveStep{to: m.To, since: now}
	if w := c.lifeOf(m.Instance); w != nil {
		w.out = true
		s.life = w.Life
	}
	c.moves[m.Instance] = s
	c.carryMove(m.Instance, s, now)
}

// carryMoves goes on with the moves that have begun: those into pools that are in use first, then those into the headroom.
func (c *session) carryMoves(now time.Time) {
	c.desk.refused = false
	for _, parks := range [...]bool{false, true} {
		for machine, s := range c.moves {
			if c.config.Pools[s.to].Headroom == parks {
				c.carryMove(machine, s, now)
			}
		}
	}
}

// dropQueued forgets the moves whose calls have not left: whether they are still wanted is decided anew.
func (c *session) dropQueued() {
	for machine, s := range c.moves {
		if s.queued && s.notBefore.IsZero() {
			c.stay(machine, s)
		}
	}
}

// dropMoves leaves the instances where they are for which no move was asked.
func (c *session) dropMoves() {
	for machine, s := range c.moves {
		if !s.asking && !s.moved && s.notBefore.IsZero() {
			c.endMove(machine, s)
		}
	}
}

func (c *session) carryMove(machine string, s *moveStep, now time.Time) {
	switch {
	case s.asking || now.Before(s.notBefore):
	case s.moved:
		c.awaitMoved(machine, s, now)
	case s.life != "" && c.workers[s.life] == nil:
		c.endMove(machine, s) // its life has left the tables meanwhile, and what runs there now is not known
	case c.workers[s.life] != nil && !c.workers[s.life].empty():
		if now.Sub(s.since) > patience {
			c.endMove(machine, s) // its work takes too long; another one may go
		}
	default:
		c.askMove(machine, s)
	}
}

// awaitMoved ends the move once the instance has arrived, or is off.
func (c *session) awaitMoved(machine string, s *moveStep, now time.Time) {
	w := c.workerOf(machine)
	arrived := w != nil && w.Life != s.life && w.heard
	off := c.config.Pools[s.to].Headroom && now.Sub(s.since) > c.Bounds().Move
	if arrived || off || now.Sub(s.since) > c.Bounds().Move+moveLost {
		delete(c.moves, machine)
	}
}

// stay leaves the instance where it is.
func (c *session) stay(machine string, s *moveStep) {
	if w := c.workers[s.life]; w != nil {
		w.out = false
		c.dirtyPool(w.Pool)
	}
	delete(c.moves, machine)
}

// endMove leaves the instance where it is for a while.
func (c *session) endMove(machine string, s *moveStep) {
	c.stay(machine, s)
	c.unmovable[machine] = c.now().Add(moveAgain)
}

func (c *session) askMove(machine string, s *moveStep) {
	now := c.now()
	if !c.confirmed(now) {
		return
	}
	s.queued = !c.desk.take(c.Machines.PerSecond, now)
	if s.queued {
		return
	}
	s.asking = true
	c.work.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout)
		defer cancel()
		err := c.whileConfirmed(func() error { return c.Machines.Move(ctx, machine, s.to, c.term.Fence) })
		c.post(moveAsked{machine: machine, step: s, err: err})
	})
}

// moveAsked is the answer to a move, or the lack of one.
type moveAsked struct {
	machine string
	step    *moveStep
	err     error
}

func (m moveAsked) apply(c *session) {
	s := m.step
	s.asking = false
	now := c.now()
	c.desk.done()
	defer func() {
		if c.desk.refused {
			c.carryMoves(now)
		}
	}()
	switch {
	case m.err == nil:
		s.moved, s.since = true, now
		c.fenced[m.machine] = true
		x := c.machines[m.machine]
		from := x.Pool
		x.Pool, x.State, x.ID = s.to, MachineUp, ""
		c.machines[m.machine] = x
		c.ownWord[m.machine] = now
		if w := c.workers[s.life]; w != nil {
			c.lose(w, "its instance was moved")
		}
		c.counts.moves.Inc(1)
		c.emit(event.InstanceMoved, event.Subject{Instance: m.machine}, "from=%s to=%s", from, s.to)
	case errors.Is(m.err, ErrFenced):
		c.Lost(c.term.Fence)
	case errors.Is(m.err, ErrTooMany):
		c.desk.rest(now)
		if s.notBefore.IsZero() {
			c.stay(m.machine, s) // decided anew when the interface takes calls again
		}
	case errors.Is(m.err, ErrBusy), errors.Is(m.err, ErrNotInWave):
		c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "move to=%s err=%q", s.to, m.err)
		c.endMove(m.machine, s)
	default: // it may have been done: the same call again does no harm
		c.emit(event.UpkeepRefused, event.Subject{Instance: m.machine}, "move to=%s err=%q", s.to, m.err)
		s.notBefore = now.Add(moveAgain)
	}
}
