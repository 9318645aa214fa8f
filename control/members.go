// SPDX-License-Identifier: MIT

package control

import (
	"hash/fnv"
	"slices"
	"time"

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

// second returns the entry that would do the duty without its leader.
func (c *Controller) second(duty string) string {
	able := slices.Clone(c.ableIn(""))
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
	up := c.Mesh.ConnectedPeers()
	live = slices.DeleteFunc(m.in(c, c.Self.DataCentre), func(id string) bool {
		return id != c.Self.ID && !slices.Contains(up, id)
	})
	known = len(live)
	gone := c.Mesh.ExitedPeers()
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
