// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rackstep.dev/fleet"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/route"
)

// member is what this entry knows of another one.
type member struct {
	status *peerpb.Status
	// heard is when the status last changed its sequence, by the local clock.
	heard time.Time
	// from is the peer that brought the status.
	from string
}

// members holds the statuses of all entries.
type members struct {
	byEntry map[string]*member
	// sent is what each peer was sent of each entry's status.
	sent map[string]map[string]sentStatus
	own  *peerpb.Status
}

// sentStatus is the latest status of an entry that a peer was sent, and when.
type sentStatus struct {
	status *peerpb.Status
	at     time.Time
}

// Times of the membership.
const (
	// heartbeat is the time between two statuses of a neighbour, liveFor how long one is good.
	heartbeat = time.Second
	liveFor   = 3500 * time.Millisecond
	// farHeartbeat is the time between two statuses to another data centre, passHeartbeat between two that a neighbour
	// passes on, farLiveFor how long one is good.
	farHeartbeat  = 5 * time.Second
	passHeartbeat = 10 * time.Second
	farLiveFor    = 32 * time.Second
	// A changed status goes out earlier, but not more often than this.
	nearPause   = 400 * time.Millisecond
	farPause    = time.Second
	passPause   = 2 * time.Second
	forgetAfter = 10 * time.Minute
	// crossLinks is the number of links to each other data centre.
	crossLinks = 2
)

// merge takes the statuses that a peer sent.
func (m *members) merge(g *peerpb.Gossip, from string, now time.Time) {
	for _, s := range g.Statuses {
		old := m.byEntry[s.Entry]
		if old == nil {
			old = &member{}
			m.byEntry[s.Entry] = old
		}
		if old.status != nil && old.status.Boot == s.Boot && old.status.Sequence >= s.Sequence {
			continue
		}
		keepAddresses(s, old.status)
		old.status, old.heard, old.from = s, now, from
	}
}

// keepAddresses fills in what a short status leaves out.
func keepAddresses(s, old *peerpb.Status) {
	if old == nil || old.Boot != s.Boot || s.PeerAddress != "" {
		return
	}
	s.PeerAddress, s.CallerAddress, s.OperatorAddress = old.PeerAddress, old.CallerAddress, old.OperatorAddress
}

// sameStatus compares what matters of two statuses to others; offsets matter only while instances drain.
func sameStatus(a, b *peerpb.Status, draining bool) bool {
	x := proto.CloneOf(a)
	x.Sequence = b.Sequence
	if !draining && x.Version == b.Version {
		x.Offset = b.Offset
	}
	return proto.Equal(x, b)
}

// expire forgets entries that were silent for long.
func (m *members) expire(now time.Time) {
	for id, e := range m.byEntry {
		if now.Sub(e.heard) > forgetAfter {
			delete(m.byEntry, id)
		}
	}
}

// live says whether the entry is taken for alive and not stopping.
func (m *members) live(c *Controller, id string, now time.Time) bool {
	if id == c.Self.ID {
		return !c.Server.Stopping()
	}
	e := m.byEntry[id]
	if e == nil || e.status.Stopping {
		return false
	}
	limit := farLiveFor
	if e.status.DataCentre == c.Self.DataCentre {
		limit = liveFor
	}
	return now.Sub(e.heard) < limit
}

// in returns the live entries of the data centre, or of all when it is empty, in the order of their names.
func (m *members) in(c *Controller, dataCentre string) []string {
	now := time.Now()
	var ids []string
	for id, e := range m.byEntry {
		if (dataCentre == "" || e.status.DataCentre == dataCentre) && m.live(c, id, now) && id != c.Self.ID {
			ids = append(ids, id)
		}
	}
	if (dataCentre == "" || dataCentre == c.Self.DataCentre) && m.live(c, c.Self.ID, now) {
		ids = append(ids, c.Self.ID)
	}
	slices.Sort(ids)
	return ids
}

// leader returns the entry that does the duty: one that reaches the log, in the data centre if there is one.
func (m *members) leader(c *Controller, duty, dataCentre string) string {
	able := m.able(c, m.in(c, dataCentre))
	if len(able) == 0 && dataCentre != "" {
		able = m.able(c, m.in(c, ""))
	}
	return route.Owner(duty, able)
}

// second returns the entry that would do the duty without its leader.
func (m *members) second(c *Controller, duty string) string {
	able := m.able(c, m.in(c, ""))
	first := route.Owner(duty, able)
	return route.Owner(duty, slices.DeleteFunc(able, func(id string) bool { return id == first }))
}

func (m *members) able(c *Controller, ids []string) []string {
	return slices.DeleteFunc(ids, func(id string) bool {
		if id == c.Self.ID {
			return !c.reach.log
		}
		return !m.byEntry[id].status.LogReachable
	})
}

// neighbours returns the live entries of this data centre and their number by the tables.
func (m *members) neighbours(c *Controller) (live []string, known int) {
	up := c.Mesh.Up()
	live = slices.DeleteFunc(m.in(c, c.Self.DataCentre), func(id string) bool {
		return id != c.Self.ID && !slices.Contains(up, id)
	})
	known = len(live)
	gone := c.Mesh.Gone()
	for id, e := range c.tables.Entries.All {
		if e.DataCentre == c.Self.DataCentre && !slices.Contains(live, id) && !slices.Contains(gone, id) && !m.stopped(id, e.Boot) {
			known++
		}
	}
	return live, known
}

// stopped says that the entry has announced its stop and has nothing in flight.
func (m *members) stopped(id, boot string) bool {
	e := m.byEntry[id]
	return e != nil && e.status.Boot == boot && e.status.Stopping && len(e.status.Held) == 0
}

// agreed says whether every live neighbour takes the same entries for live.
func (m *members) agreed(c *Controller, live []string) bool {
	hash := membersHash(live)
	for _, id := range live {
		if id != c.Self.ID && m.byEntry[id].status.Members != hash {
			return false
		}
	}
	return true
}

func membersHash(ids []string) uint64 {
	h := fnv.New64a()
	for _, id := range ids {
		_, _ = h.Write([]byte(id)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// held returns the slots of each instance that other entries of this data centre still use without owning its gate.
func (m *members) held(c *Controller) map[string]int {
	held := make(map[string]int)
	for id, e := range m.byEntry {
		if id == c.Self.ID || e.status.DataCentre != c.Self.DataCentre {
			continue
		}
		for _, h := range e.status.Held {
			held[h.Instance] += int(h.Requests)
		}
	}
	return held
}

// acknowledged returns the entries that have folded the offset and have nothing in flight on the instance.
func (m *members) acknowledged(c *Controller, instance string, offset int64) []string {
	var ids []string
	if c.Server.View() != nil && c.Server.View().Offset >= offset && c.Server.Held()[instance] == 0 {
		ids = append(ids, c.Self.ID)
	}
	for id, e := range m.byEntry {
		if id != c.Self.ID && e.status.Offset >= offset && !holds(e.status, instance) && c.sameBoot(id, e.status.Boot) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func holds(s *peerpb.Status, instance string) bool {
	return slices.ContainsFunc(s.Held, func(h *peerpb.Held) bool { return h.Instance == instance })
}

// sameBoot says that a status comes from the life of the entry that the tables know.
func (c *Controller) sameBoot(id, boot string) bool {
	e := c.tables.Entries.Get(id)
	return e != nil && e.Boot == boot
}

// link keeps links to the entries of this data centre and a few to each other one.
func (c *Controller) link() {
	far := make(map[string][]peer.Address)
	var near []peer.Address
	add := func(id, dataCentre, address string) {
		switch {
		case id == c.Self.ID || address == "":
		case dataCentre == c.Self.DataCentre:
			near = append(near, peer.Address{Entry: id, Address: address})
		default:
			far[dataCentre] = append(far[dataCentre], peer.Address{Entry: id, Address: address})
		}
	}
	for id, a := range c.peerAddresses() {
		add(id, a.DataCentre, a.Address)
	}
	for _, list := range far {
		near = append(near, c.nearest(list)...)
	}
	c.Mesh.SetPeers(c.ctx, near)
}

// peerAddresses returns every entry that may be alive; what an entry says of itself goes before the tables and the seeds.
func (c *Controller) peerAddresses() map[string]Seed {
	all := make(map[string]Seed)
	for _, s := range c.Seeds {
		all[s.Entry] = s
	}
	if c.tables != nil {
		for id, e := range c.tables.Entries.All {
			all[id] = Seed{Entry: id, DataCentre: e.DataCentre, Address: e.PeerAddress}
		}
	}
	now := time.Now()
	for id, e := range c.members.byEntry {
		if now.Sub(e.heard) < farLiveFor {
			all[id] = Seed{Entry: id, DataCentre: e.status.DataCentre, Address: e.status.PeerAddress}
		}
	}
	return all
}

// nearest picks the entries of one other data centre that this entry links to; live ones first.
func (c *Controller) nearest(list []peer.Address) []peer.Address {
	now := time.Now()
	ids := make([]string, 0, len(list))
	byID := make(map[string]peer.Address, len(list))
	for _, a := range list {
		byID[a.Entry] = a
		ids = append(ids, a.Entry)
	}
	var chosen []peer.Address
	for len(ids) > 0 && len(chosen) < crossLinks {
		live := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !c.members.live(c, id, now) })
		if len(live) == 0 {
			live = ids
		}
		id := route.Owner(c.Self.ID, live)
		chosen = append(chosen, byID[id])
		ids = slices.DeleteFunc(ids, func(other string) bool { return other == id })
	}
	return chosen
}

// status returns what this entry says about itself.
func (c *Controller) status() *peerpb.Status {
	s := &peerpb.Status{
		Entry: c.Self.ID, DataCentre: c.Self.DataCentre, Boot: c.Self.Boot, PeerAddress: c.Self.PeerAddress,
		OperatorAddress: c.Self.OperatorAddress, CallerAddress: c.Self.CallerAddress,
		Stopping: c.Server.Stopping(), LogReachable: c.reach.log, Offset: -1,
	}
	if c.tables == nil {
		return s
	}
	live, _ := c.members.neighbours(c)
	s.Members = membersHash(live)
	s.Version = c.tables.Version
	if v := c.Server.View(); v != nil && c.viewed {
		s.Offset = c.tables.Offset
	}
	for id, n := range c.Server.Held() {
		s.Held = append(s.Held, &peerpb.Held{Instance: id, Requests: int32(n)})
	}
	slices.SortFunc(s.Held, func(a, b *peerpb.Held) int { return compare(a.Instance, b.Instance) })
	return s
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// gossip sends this entry's status to the linked peers, and to neighbours what it hears directly from elsewhere.
func (c *Controller) gossip(now time.Time) {
	draining := c.anyDraining()
	own := c.status()
	if old := c.members.own; old != nil {
		own.Sequence = old.Sequence
		if !proto.Equal(own, old) || now.Sub(c.members.byEntry[c.Self.ID].heard) >= heartbeat {
			own.Sequence++
		} else {
			own = old
		}
	}
	if own != c.members.own {
		c.members.own = own
		c.members.byEntry[c.Self.ID] = &member{status: own, heard: now}
	}
	for _, p := range c.Mesh.Up() {
		c.gossipTo(p, now, draining)
	}
}

func (c *Controller) anyDraining() bool {
	if c.tables == nil {
		return false
	}
	for _, in := range c.tables.Instances.All {
		if in.State == fleet.InstanceDraining {
			return true
		}
	}
	return false
}

// gossipTo sends what is due to one peer. Statuses of other data centres are passed on to neighbours only, and only
// by the entry that heard them from their source, so that none goes in circles.
func (c *Controller) gossipTo(to string, now time.Time, draining bool) {
	sent := c.members.sent[to]
	if sent == nil {
		sent = make(map[string]sentStatus)
		c.members.sent[to] = sent
	}
	peer := c.members.byEntry[to]
	near := peer != nil && peer.status.DataCentre == c.Self.DataCentre
	var g peerpb.Gossip
	for id, e := range c.members.byEntry {
		every, pause := farHeartbeat, farPause
		switch {
		case id == c.Self.ID && near:
			every, pause = heartbeat, nearPause
		case id == c.Self.ID:
		case !near || e.from != id || e.status.DataCentre == c.Self.DataCentre:
			continue
		default:
			every, pause = passHeartbeat, passPause
		}
		last := sent[id]
		age := now.Sub(last.at)
		if last.status != nil && (last.status.Sequence == e.status.Sequence || age < pause ||
			(age < every && sameStatus(last.status, e.status, draining))) {
			continue
		}
		g.Statuses = append(g.Statuses, shorten(e.status, last.status))
		sent[id] = sentStatus{e.status, now}
	}
	if len(g.Statuses) > 0 {
		c.sendGossip(to, &g)
	}
}

// fullEvery is the number of short statuses after which a full one is sent, in case the peer began anew.
const fullEvery = 16

// shorten leaves out the addresses that the peer has been sent.
func shorten(s, last *peerpb.Status) *peerpb.Status {
	if last == nil || last.Boot != s.Boot || s.Sequence/fullEvery != last.Sequence/fullEvery {
		return s
	}
	short := proto.CloneOf(s)
	short.PeerAddress, short.CallerAddress, short.OperatorAddress = "", "", ""
	return short
}

func (c *Controller) sendGossip(to string, g *peerpb.Gossip) {
	ctx, cancel := context.WithTimeout(c.ctx, heartbeat)
	go func() {
		defer cancel()
		if s, err := c.Mesh.Open(ctx, to, &peerpb.Open{Kind: &peerpb.Open_Gossip{Gossip: g}}); err == nil {
			s.Release() // there is no answer
		}
	}()
}
