// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"time"

	"rackstep.dev/event"
)

// Timing of lists of the instances.
const (
	// minKnownTime is how long an incarnation must be known before the list of instances can declare it ended, because that list may lag behind the list of workers.
	minKnownTime = 2500 * time.Millisecond
	// silentListInterval is the interval between two listings of the instances while workers are silent.
	silentListInterval = 700 * time.Millisecond
	// listInterval is the usual interval between two listings of the instances.
	listInterval = 1500 * time.Millisecond
	// listPauseFactor times the duration of the last listing is the minimum interval, since the list grows with the fleet.
	listPauseFactor = 5
	// maxListInterval bounds that interval: the runs of a worker that has ended wait for the list.
	maxListInterval = 2500 * time.Millisecond
	// listTimeout bounds a listing of all instances. The list is paged, and the adapter bounds each page.
	listTimeout = 6 * time.Second
	// silentAfter is how long a worker must be silent before the list of instances is used to decide whether its incarnation has ended.
	silentAfter = 500 * time.Millisecond
)

// listMachines requests the list of instances and their incarnations from the machine interface.
func (c *session) listMachines() {
	c.machinesAsking = true
	c.machinesAskedAt = c.now()
	asked := c.machinesAskedAt
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		list, err := c.Machines.List(ctx)
		c.post(machinesListed{list: list, asked: asked, err: err})
	})
}

// machinesListed is the result of listMachines.
type machinesListed struct {
	list  []Machine
	asked time.Time
	err   error
}

func (m machinesListed) apply(c *session) {
	c.machinesAsking = false
	if m.err != nil { // retried at the next interval
		c.emit(event.PlatformUnreachable, event.Subject{Entry: c.Entry}, "list of instances: %v", m.err)
		return
	}
	now := c.now()
	c.machinesListTime = now.Sub(m.asked) // a list that fails takes until its timeout, which tells nothing about the next one
	c.machinesListedAt = m.asked
	named := make(map[string]bool, len(m.list))
	for _, x := range m.list {
		named[x.Name] = true
		if now.After(c.listIgnoredUntil[x.Name]) {
			c.machines[x.Name] = x
		}
	}
	for name := range c.machines {
		if !named[name] {
			delete(c.machines, name)
			delete(c.departed, name)
		}
	}
	c.machineNames = nil // the set may differ even if its size does not
	for _, w := range c.workers {
		c.checkInstance(w, now)
	}
	c.freeSwitchedOff(now)
}

// checkInstance ends a silent incarnation if the list of instances names another incarnation for its instance, or does not name the instance.
func (c *session) checkInstance(w *worker, now time.Time) {
	if w.silentSince.IsZero() || now.Sub(w.listedSince) < minKnownTime || now.Sub(w.silentSince) < silentAfter || w.Machine == "" {
		w.missedLists = 0
		return
	}
	x, ok := c.machines[w.Machine]
	switch {
	case ok && (x.ID != w.ID || x.Pool != w.Pool):
		if x.ID != w.ID {
			c.retireID(w)
		}
		c.endIncarnation(w, "the machine interface knows its instance by another life")
	case ok:
		w.missedLists = 0
	case w.missedLists > 0: // the pages of a list are no consistent snapshot, so one omission is not enough
		c.endIncarnation(w, "the machine interface knows its instance no longer")
	default:
		w.missedLists++
	}
}
