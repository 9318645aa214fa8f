// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/provider"
)

// listing is the state derived from the platform's instance list.
type listing struct {
	rows map[string]provider.Instance
	// latest is the latest response, whether it was plausible or not.
	latest []provider.Instance
	// seen holds the incarnations of entries that the list has contained; unseen holds since when it has lacked a joined one.
	seen   map[incarnation]bool
	unseen map[incarnation]time.Time
	// changes counts the accepted responses that differed in a way that affects routing.
	changes  uint64
	ok       bool
	reported bool
	// implausible counts consecutive responses that lacked more than half of the known instances.
	implausible int
}

// confirmationsNeeded is the number of consecutive responses that must lack more than half of the known instances before one is
// accepted.
const confirmationsNeeded = 3

// plausible reports whether the response may replace the previous one.
func (l *listing) plausible(fresh map[string]provider.Instance) bool {
	kept := 0
	for id := range l.rows {
		if _, ok := fresh[id]; ok {
			kept++
		}
	}
	if 2*kept >= len(l.rows) {
		l.implausible = 0
		return true
	}
	l.implausible++
	return l.implausible >= confirmationsNeeded
}

// incarnation identifies one run of an entry process.
type incarnation struct{ entry, boot string }

// listPeriod is the time between two reads of the instance list.
const listPeriod = time.Second

// goneOrLeaving reports whether the list lacks the instance or marks it as leaving. The list may be newer than the tables.
func (l *listing) goneOrLeaving(id string) bool {
	if l.rows == nil {
		return false
	}
	row, ok := l.rows[id]
	return !ok || row.Leaving
}

// The pause after each read of the list grows with the size of the list, so that reading costs at most listBytesPerSecond on
// average.
const (
	listBytesPerSecond         = 4000
	bytesPerInstance           = 140
	bytesPerCompressedInstance = 14
	maxListPause               = 15 * time.Second
)

// followList reads the platform's instance list until the context ends.
func (c *Controller) followList(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		list, err := c.Platform.Instances(ctx, tag)
		if err == nil {
			tag = list.Tag
		}
		_ = c.post(ctx, func() { c.handleList(list, err) }) // post fails only when the entry stops
		sleep(ctx, listPause(list))
	}
}

// listPause returns the time until the next read of the list.
func listPause(l provider.InstanceList) time.Duration {
	each := bytesPerInstance
	if l.Compressed {
		each = bytesPerCompressedInstance
	}
	paced := time.Duration(len(l.Instances)*each) * time.Second / listBytesPerSecond
	return min(maxListPause, max(listPeriod, paced))
}

// handleList handles a response of the instance list, or the error of reading it.
func (c *Controller) handleList(list provider.InstanceList, err error) {
	c.setPlatformReachable(err == nil)
	if err != nil {
		return // the previous list stays in use; it only lacks the changes since
	}
	rows := list.Instances
	if list.Unchanged {
		if c.list.latest == nil {
			return
		}
		rows = c.list.latest
	}
	c.list.latest = rows
	byID := make(map[string]provider.Instance, len(rows))
	for _, r := range rows {
		byID[r.ID] = r
	}
	if !c.list.plausible(byID) {
		return
	}
	if c.list.differs(byID) {
		c.list.changes++
	}
	c.list.rows = byID
	if c.list.seen == nil {
		c.list.seen = make(map[incarnation]bool)
		c.list.unseen = make(map[incarnation]time.Time)
	}
	for _, r := range rows {
		if r.Role == provider.RoleEntry {
			c.list.seen[incarnation{r.ID, r.Boot}] = true
		}
	}
}

// differs reports whether the instances differ from the known ones in a way that affects routing.
func (l *listing) differs(fresh map[string]provider.Instance) bool {
	if len(l.rows) != len(fresh) {
		return true
	}
	for id, r := range fresh {
		if old, ok := l.rows[id]; !ok || old.Leaving != r.Leaving {
			return true
		}
	}
	return false
}

// setPlatformReachable emits an event when the reachability of the platform has changed.
func (c *Controller) setPlatformReachable(ok bool) {
	if c.list.reported && c.list.ok == ok {
		return
	}
	c.list.ok, c.list.reported = ok, true
	n := event.PlatformUnreachable
	if ok {
		n = event.PlatformReachable
	}
	c.Events.Emit(n, event.Subject{}, "")
}

// maxObservations is the maximum number of instances in one record.
const maxObservations = 200

// observe writes the differences between the list and the tables to the log, for the data centres whose observe duty this entry
// owns.
func (c *Controller) observe() {
	if !c.list.ok {
		return
	}
	var changed []fleet.Observation
	for id, r := range c.list.rows {
		ob := fleet.Observation{ID: id, DataCentre: r.DataCentre, Rack: r.Rack, Address: r.Address, Cores: r.Cores, MemoryMB: r.MemoryMB, Leaving: r.Leaving}
		if r.Role == provider.RoleWorker && c.ownsDuty("observe", r.DataCentre) && ob.Differs(c.tables.Instances.Get(id)) {
			changed = append(changed, ob)
		}
	}
	for id, in := range c.tables.Instances.All {
		if _, ok := c.list.rows[id]; !ok && c.ownsDuty("observe", in.DataCentre) {
			if ob := (fleet.Observation{ID: id, Down: true}); ob.Differs(in) {
				changed = append(changed, ob)
			}
		}
	}
	c.writeObservations(changed)
}

func (c *Controller) writeObservations(changed []fleet.Observation) {
	sortBy(changed, func(o fleet.Observation) string { return o.ID })
	for len(changed) > 0 {
		n := min(len(changed), maxObservations)
		c.write("observe/"+changed[0].ID, fleet.Record{Observe: &fleet.Observe{Instances: changed[:n:n]}})
		changed = changed[n:]
	}
}

// unlistedTimeout is how long the list may lack a newly started entry.
const unlistedTimeout = time.Minute

// takeoverDelay is how long an entry that doesn't own the duty waits before it removes a terminated entry itself.
const takeoverDelay = 5 * time.Second

// reconcileEntries joins this entry and removes the entries that the platform no longer runs.
func (c *Controller) reconcileEntries() {
	if c.Server.Stopping() {
		return
	}
	e := c.tables.Entries.Get(c.Self.ID)
	if (e == nil || e.Boot != c.Self.Boot) && !c.terminated(incarnation{c.Self.ID, c.Self.Boot}) {
		c.write("join", fleet.Record{Join: &fleet.Join{Entry: c.Self}})
	}
	if !c.list.ok {
		return
	}
	ownsDuty := c.ownsDuty("members", "")
	for id, e := range c.tables.Entries.All {
		l := incarnation{id, e.Boot}
		if c.unlistedFor(l) > c.unlistedLimit(l, ownsDuty) {
			c.write("leave/"+id+e.Boot, fleet.Record{Leave: &fleet.Leave{ID: id, Boot: e.Boot}})
		}
	}
}

// terminated reports whether the list has contained this incarnation and no longer does.
func (c *Controller) terminated(l incarnation) bool {
	row, listed := c.list.rows[l.entry]
	return c.list.seen[l] && (!listed || row.Boot != l.boot)
}

// unlistedLimit returns how long the list must lack the incarnation before this entry removes it from the tables.
//
// The owner of the duty may have started too late to have seen the incarnation in the list. Another entry that has seen it
// then takes over after takeoverDelay.
func (c *Controller) unlistedLimit(l incarnation, ownsDuty bool) time.Duration {
	switch {
	case !c.terminated(l):
		return unlistedTimeout
	case ownsDuty:
		return 0
	}
	return takeoverDelay
}

// unlistedFor returns how long the list has lacked the joined incarnation. It is 0 while the incarnation is listed, and while it
// is heard from unless the list has contained it before.
func (c *Controller) unlistedFor(l incarnation) time.Duration {
	row, listed := c.list.rows[l.entry]
	heard := c.members.byEntry[l.entry]
	now := time.Now()
	alive := heard != nil && heard.status.Boot == l.boot && !heard.status.Stopping && now.Sub(heard.heardAt) < remoteLiveTimeout
	if (listed && row.Boot == l.boot) || l.entry == c.Self.ID || (alive && !c.terminated(l)) {
		delete(c.list.unseen, l)
		return 0
	}
	since, ok := c.list.unseen[l]
	if !ok {
		c.list.unseen[l] = now
		return 0
	}
	return now.Sub(since)
}
