// SPDX-License-Identifier: MIT

package control

import (
	"hash/fnv"
	"slices"
	"time"

	"rackstep.dev/peer/peerpb"
	"rackstep.dev/route"
)

// member is the latest known status of an entry.
type member struct {
	status *peerpb.Status
	// heardAt is when a status with a new sequence was last received, by the local clock.
	heardAt time.Time
	// receivedFrom is the peer that sent the status; it differs from the entry when the status was relayed.
	receivedFrom string
}

// members holds the statuses of all entries, including this one.
type members struct {
	byEntry map[string]*member
	// sent holds the latest status of each entry that was sent to a peer, by peer and entry.
	sent map[string]map[string]sentStatus
	own  *peerpb.Status
}

// sentStatus is a status and when it was sent.
type sentStatus struct {
	status *peerpb.Status
	at     time.Time
}

// Intervals and timeouts of the membership.
const (
	// heartbeat is the time between two statuses within a data centre; an entry counts as live for liveTimeout after one.
	heartbeat   = time.Second
	liveTimeout = 3500 * time.Millisecond
	// remoteHeartbeat is the time between two statuses sent to another data centre, relayHeartbeat between two that are
	// relayed within a data centre; an entry of another data centre counts as live for remoteLiveTimeout after one.
	remoteHeartbeat   = 5 * time.Second
	relayHeartbeat    = 10 * time.Second
	remoteLiveTimeout = 32 * time.Second
	// The minimum intervals limit how soon a changed status is sent after the previous one, before the heartbeat is due.
	minStatusInterval = 400 * time.Millisecond
	minRemoteInterval = time.Second
	minRelayInterval  = 2 * time.Second
	memberRetention   = 10 * time.Minute
	// linksPerDataCentre is the number of links to each other data centre.
	linksPerDataCentre = 2
)

// merge stores the statuses that a peer sent, except those that are older than the known ones.
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
		fillAddresses(s, old.status)
		old.status, old.heardAt, old.receivedFrom = s, now, from
	}
}

// fillAddresses copies the addresses from the previous status when the new one omits them.
func fillAddresses(s, old *peerpb.Status) {
	if old == nil || old.Boot != s.Boot || s.PeerAddress != "" {
		return
	}
	s.PeerAddress, s.CallerAddress, s.OperatorAddress = old.PeerAddress, old.CallerAddress, old.OperatorAddress
}

// expire removes entries from which no status was received for forgetAfter.
func (m *members) expire(now time.Time) {
	for id, e := range m.byEntry {
		if now.Sub(e.heardAt) > memberRetention {
			delete(m.byEntry, id)
		}
	}
}

// live reports whether the entry has been heard from recently and is not stopping.
func (m *members) live(c *Controller, id string, now time.Time) bool {
	if id == c.Self.ID {
		return !c.Server.Stopping()
	}
	e := m.byEntry[id]
	if e == nil || e.status.Stopping {
		return false
	}
	limit := remoteLiveTimeout
	if e.status.DataCentre == c.Self.DataCentre {
		limit = liveTimeout
	}
	return now.Sub(e.heardAt) < limit
}

// liveIn returns the live entries of the data centre, or of all data centres when it is empty, sorted by name.
func (m *members) liveIn(c *Controller, dataCentre string) []string {
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

// successor returns the entry that would own the duty if its owner failed.
func (c *Controller) successor(duty string) string {
	able := slices.Clone(c.reachingLogIn(""))
	first := route.Owner(duty, able)
	return route.Owner(duty, slices.DeleteFunc(able, func(id string) bool { return id == first }))
}

// reachingLog returns those of the entries that reach the fleet log by their own status.
func (m *members) reachingLog(c *Controller, ids []string) []string {
	return slices.DeleteFunc(ids, func(id string) bool {
		if id == c.Self.ID {
			return !c.logState.reachable
		}
		return !m.byEntry[id].status.LogReachable
	})
}

// neighbours returns the live and linked entries of this data centre, and the number of entries that may be running there: the
// live ones and those in the tables that are not known to have gone or stopped.
func (m *members) neighbours(c *Controller) (live []string, known int) {
	up := c.Mesh.ConnectedPeers()
	live = slices.DeleteFunc(m.liveIn(c, c.Self.DataCentre), func(id string) bool {
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

// stopped reports whether the entry has announced its stop and holds no slots of instances that it no longer routes to.
func (m *members) stopped(id, boot string) bool {
	e := m.byEntry[id]
	return e != nil && e.status.Boot == boot && e.status.Stopping && len(e.status.Held) == 0
}

// neighboursAgree reports whether every live neighbour has the same set of live entries.
func (m *members) neighboursAgree(c *Controller, live []string) bool {
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
		_, _ = h.Write([]byte(id)) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// heldSlots returns the number of slots of each instance that other entries of this data centre use for requests in flight,
// although the instance was removed from their gate.
func (m *members) heldSlots(c *Controller) map[string]int {
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

// acknowledged returns the entries that have applied the log up to the offset and have no request in flight on the instance.
func (m *members) acknowledged(c *Controller, instance string, offset int64) []string {
	var ids []string
	if c.Server.View() != nil && c.Server.View().Offset >= offset && c.Server.Held()[instance] == 0 {
		ids = append(ids, c.Self.ID)
	}
	for id, e := range m.byEntry {
		if id != c.Self.ID && e.status.Offset >= offset && !holdsSlots(e.status, instance) && c.sameBoot(id, e.status.Boot) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func holdsSlots(s *peerpb.Status, instance string) bool {
	return slices.ContainsFunc(s.Held, func(h *peerpb.Held) bool { return h.Instance == instance })
}

// sameBoot reports whether the boot ID is that of the entry's incarnation in the tables.
func (c *Controller) sameBoot(id, boot string) bool {
	e := c.tables.Entries.Get(id)
	return e != nil && e.Boot == boot
}
