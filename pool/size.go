// SPDX-License-Identifier: MIT

package pool

import (
	"maps"
	"math"
	"slices"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/maintenance"
)

// sizePools moves instances between pools according to their load.
func (c *session) sizePools(now time.Time) {
	if c.config == nil || c.machinesListedAt.IsZero() || now.Before(c.soleLeaderFrom) {
		return
	}
	if c.storeFailing(now) {
		c.cancelUnsentMoves()
		return
	}
	c.advanceMoves(now)
	c.cancelQueuedMoves()
	pools, instances := c.sizingInputs(now)
	c.observeWaveLoads(pools, now) // before the wants are limited
	wanted := make(map[string]float64, len(pools))
	for i := range pools {
		wanted[pools[i].Name] = math.Ceil(pools[i].Want)
	}
	c.allotShortage(pools, instances, now)
	c.updatePoolGauges(wanted, pools, now)
	for _, m := range maintenance.Moves(pools, instances) {
		c.startMove(m, now)
	}
}

// sizingInputs returns the pools and the instances in the form that package maintenance expects.
func (c *session) sizingInputs(now time.Time) ([]maintenance.Pool, []maintenance.Instance) {
	rows := make(map[string]*maintenance.Pool)
	var pools []maintenance.Pool
	for name, p := range c.config.Pools {
		pools = append(pools, maintenance.Pool{Name: name, Headroom: p.Headroom})
	}
	for i := range pools {
		rows[pools[i].Name] = &pools[i]
	}
	c.countLoads()
	for _, p := range c.pools {
		c.reserveUnplaced(p, now)
	}
	var instances []maintenance.Instance
	for _, name := range c.instanceNames() {
		m := c.machines[name]
		if c.inWave(name) {
			continue // it serves no pool until its maintenance is over
		}
		x := maintenance.Instance{Name: name, Pool: m.Pool, Labels: m.Labels, Fixed: m.State != MachineUp || c.immovable(name, now), Drained: c.drains[m.DataCentre] != nil}
		if s := c.moves[name]; s != nil {
			x.Pool = s.to
		}
		w := c.workerOn(name)
		switch {
		case w != nil && !w.beingEmptied && (w.Leaving || w.unreadable || !w.silentSince.IsZero()):
			continue // it can't run new tasks
		case w != nil:
			x.Runs = len(w.runs)
			x.Fixed = x.Fixed || !w.fullyListed || !w.listed || c.isNeeded(w, now) || c.pool(w.Pool).load.unplaced[w.Incarnation]
			x.Lasting = w.candidate.Serving + w.candidate.Filling
		case !c.config.Pools[x.Pool].Headroom && c.moves[name] == nil && m.State != MachineMoving:
			// The instance is down, or has been unreachable for longer than its lease and its entry in the list lasted. Such instances must not
			// count: otherwise a pool whose tasks all wait for a network partition to end gets no replacements.
			continue
		}
		instances = append(instances, x)
		if row := rows[x.Pool]; row != nil && !x.Drained {
			row.Have++
			c.pool(x.Pool).load.availableSeconds += c.availableSeconds(name, now)
		}
	}
	for _, row := range rows {
		if !row.Headroom {
			c.setTargets(row, now)
		}
	}
	c.retainForBursts(rows, now)
	c.setExpected(rows, now)
	c.setShortages(rows, instances, now)
	c.holdForGang(rows, instances, now)
	c.logSizes(rows, now)
	return pools, instances
}

// sizeLogInterval is the minimum interval between two log lines about the size of a pool.
const sizeLogInterval = time.Second

// logSizes logs the targets of each pool and their inputs after a significant change.
func (c *session) logSizes(rows map[string]*maintenance.Pool, now time.Time) {
	for name, row := range rows {
		p := c.pool(name)
		if row.Headroom || now.Sub(p.loggedAt) < sizeLogInterval || !changedSignificantly(p.loggedSize, *row) {
			continue
		}
		p.loggedSize, p.loggedAt = *row, now
		need, used, known := c.bursts.FullDemand(name, now)
		c.emit(event.PoolSized, event.Subject{Entry: c.Entry}, "pool=%s have=%d want=%.0f keep=%.0f idle=%.0f soon=%.0f lasting=%.0f running=%.0f waiting=%.0f turn=%.0f used=%.0f known=%t",
			name, row.Have, row.Want, row.Min, row.LongTermNeed, row.SoonNeed, p.load.lasting, p.load.running, p.load.waitingCapacity, need, used, known)
	}
}

// changedSignificantly reports whether any of the pool's targets or its size has changed by more than an eighth and by at least two instances.
func changedSignificantly(before, now maintenance.Pool) bool {
	for _, x := range [...][2]float64{{before.Want, now.Want}, {before.LongTermNeed, now.LongTermNeed}, {before.SoonNeed, now.SoonNeed}, {float64(before.Have), float64(now.Have)}} {
		if change := math.Abs(x[0] - x[1]); change >= 2 && change > max(x[0], x[1])/8 {
			return true
		}
	}
	return false
}

// instanceNames returns the sorted names of all instances. Ties between equivalent instances are broken by this order, so that each pass chooses the
// same one.
func (c *session) instanceNames() []string {
	if len(c.machineNames) != len(c.machines) {
		c.machineNames = slices.Sorted(maps.Keys(c.machines))
	}
	return c.machineNames
}

// inWave reports whether an instance is being emptied for its maintenance or is under maintenance.
func (c *session) inWave(machine string) bool {
	for _, row := range c.waveStates {
		if row.steps[machine] != nil {
			return true
		}
	}
	return false
}
