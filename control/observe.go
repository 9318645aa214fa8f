// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/provider"
)

// listing is the latest answer of the platform's instance list.
type listing struct {
	rows map[string]provider.Instance
	// last is the latest answer, believed or not.
	last []provider.Instance
	// seen are the lives of entries that the list has shown; unseen is since when it has not shown a joined one.
	seen   map[life]bool
	unseen map[life]time.Time
	// changes counts the answers that differed in what concerns routing.
	changes uint64
	ok      bool
	said    bool
	// doubted counts the answers in a row that lacked more than half of the rows.
	doubted int
}

// doubtsToBelieve is the number of answers in a row that must agree before most instances count as gone.
const doubtsToBelieve = 3

// believable says whether the answer may replace the one before it.
func (l *listing) believable(fresh map[string]provider.Instance) bool {
	kept := 0
	for id := range l.rows {
		if _, ok := fresh[id]; ok {
			kept++
		}
	}
	if 2*kept >= len(l.rows) {
		l.doubted = 0
		return true
	}
	l.doubted++
	return l.doubted >= doubtsToBelieve
}

// life is one run of an entry instance.
type life struct{ entry, boot string }

// listPeriod is the time between two reads of the instance list.
const listPeriod = time.Second

// gone says that the list shows the instance as leaving or no longer shows it; it may be ahead of the tables.
func (l *listing) gone(id string) bool {
	if l.rows == nil {
		return false
	}
	row, ok := l.rows[id]
	return !ok || row.Leaving
}

// A whole list is followed by a pause, so that it costs no more than this on average, in bytes a second.
const (
	listBudget      = 4000
	listedBytes     = 140 // one instance
	compressedBytes = 14  // one instance of a compressed list
	longestList     = 15 * time.Second
)

func (c *Controller) followList(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		list, err := c.Platform.Instances(ctx, tag)
		if err == nil {
			tag = list.Tag
		}
		_ = c.post(ctx, func() { c.listed(list, err) }) // it fails only when the entry stops
		sleep(ctx, listPause(list))
	}
}

// listPause is the time to the next read of the list.
func listPause(l provider.InstanceList) time.Duration {
	each := listedBytes
	if l.Compressed {
		each = compressedBytes
	}
	paced := time.Duration(len(l.Instances)*each) * time.Second / listBudget
	return min(longestList, max(listPeriod, paced))
}

func (c *Controller) listed(list provider.InstanceList, err error) {
	c.listReached(err == nil)
	if err != nil {
		return // an old list is better than none: it says nothing of instances that came or went since
	}
	rows := list.Instances
	if list.Unchanged {
		if c.list.last == nil {
			return
		}
		rows = c.list.last
	}
	c.list.last = rows
	fresh := make(map[string]provider.Instance, len(rows))
	for _, r := range rows {
		fresh[r.ID] = r
	}
	if !c.list.believable(fresh) {
		return
	}
	if c.list.differs(fresh) {
		c.list.changes++
	}
	c.list.rows = fresh
	if c.list.seen == nil {
		c.list.seen = make(map[life]bool)
		c.list.unseen = make(map[life]time.Time)
	}
	for _, r := range rows {
		if r.Role == provider.RoleEntry {
			c.list.seen[life{r.ID, r.Boot}] = true
		}
	}
}

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

func (c *Controller) listReached(ok bool) {
	if c.list.said && c.list.ok == ok {
		return
	}
	c.list.ok, c.list.said = ok, true
	n := event.PlatformUnreachable
	if ok {
		n = event.PlatformReachable
	}
	c.Events.Emit(n, event.Subject{}, "")
}

// maxObservations bounds the rows of one record.
const maxObservations = 200

// observe writes the rows of the list that the tables do not have yet, for the data centres that this entry watches.
func (c *Controller) observe() {
	if !c.list.ok {
		return
	}
	var changed []fleet.Observation
	for id, r := range c.list.rows {
		ob := fleet.Observation{ID: id, DataCentre: r.DataCentre, Rack: r.Rack, Address: r.Address, Cores: r.Cores, MemoryMB: r.MemoryMB, Leaving: r.Leaving}
		if r.Role == provider.RoleWorker && c.leads("observe", r.DataCentre) && ob.Differs(c.tables.Instances.Get(id)) {
			changed = append(changed, ob)
		}
	}
	for id, in := range c.tables.Instances.All {
		if _, ok := c.list.rows[id]; !ok && c.leads("observe", in.DataCentre) {
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

// unlistedAfter is how long the list may lag behind a new entry.
const unlistedAfter = time.Minute

// seenAfter is how long an entry waits for the leader to remove one that the list has shown and shows no longer.
const seenAfter = 5 * time.Second

// admitEntries joins this entry and removes those that the platform no longer runs.
func (c *Controller) admitEntries() {
	if c.Server.Stopping() {
		return
	}
	e := c.tables.Entries.Get(c.Self.ID)
	if (e == nil || e.Boot != c.Self.Boot) && !c.over(life{c.Self.ID, c.Self.Boot}) {
		c.write("join", fleet.Record{Join: &fleet.Join{Entry: c.Self}})
	}
	if !c.list.ok {
		return
	}
	leads := c.leads("members", "")
	for id, e := range c.tables.Entries.All {
		l := life{id, e.Boot}
		if c.unlistedFor(l) > c.patienceWith(l, leads) {
			c.write("leave/"+id+e.Boot, fleet.Record{Leave: &fleet.Leave{ID: id, Boot: e.Boot}})
		}
	}
}

// over says that the list has shown this life of the entry and shows it no longer.
func (c *Controller) over(l life) bool {
	row, listed := c.list.rows[l.entry]
	return c.list.seen[l] && (!listed || row.Boot != l.boot)
}

// patienceWith returns how long the list must lack the entry before this one says that it has gone.
//
// The leader of the duty may be too new to have seen the entry in the list; another one that has takes its place.
func (c *Controller) patienceWith(l life, leads bool) time.Duration {
	switch {
	case !c.over(l):
		return unlistedAfter
	case leads:
		return 0
	}
	return seenAfter
}

// unlistedFor returns how long the list has lacked the joined entry, 0 while it is listed or a peer hears of it.
func (c *Controller) unlistedFor(l life) time.Duration {
	row, listed := c.list.rows[l.entry]
	heard := c.members.byEntry[l.entry]
	now := time.Now()
	alive := heard != nil && heard.status.Boot == l.boot && !heard.status.Stopping && now.Sub(heard.heard) < farLiveFor
	if (listed && row.Boot == l.boot) || l.entry == c.Self.ID || (alive && !c.over(l)) {
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
