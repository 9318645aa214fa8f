// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"rackstep.dev/fleet"
	"rackstep.dev/peer/peerpb"
)

// status returns this entry's status for its peers.
func (c *Controller) status() *peerpb.Status {
	s := &peerpb.Status{
		Entry: c.Self.ID, DataCentre: c.Self.DataCentre, Boot: c.Self.Boot, PeerAddress: c.Self.PeerAddress,
		OperatorAddress: c.Self.OperatorAddress, CallerAddress: c.Self.CallerAddress,
		Stopping: c.Server.Stopping(), LogReachable: c.logState.reachable, Offset: -1,
	}
	if c.tables == nil {
		return s
	}
	live, _ := c.members.neighbours(c)
	s.Members = membersHash(live)
	s.Version = c.tables.Version
	if v := c.Server.View(); v != nil && c.viewCurrent {
		s.Offset = c.tables.Offset
	}
	for id, n := range c.Server.Held() {
		s.Held = append(s.Held, &peerpb.Held{Instance: id, Requests: int32(n)})
	}
	slices.SortFunc(s.Held, func(a, b *peerpb.Held) int { return strings.Compare(a.Instance, b.Instance) })
	return s
}

// gossip sends this entry's status to the linked peers. To the peers of its own data centre it also relays the statuses that it
// received directly from entries of other data centres.
func (c *Controller) gossip(now time.Time) {
	draining := c.anyDraining()
	own := c.status()
	if old := c.members.own; old != nil {
		own.Sequence = old.Sequence
		if !proto.Equal(own, old) || now.Sub(c.members.byEntry[c.Self.ID].heardAt) >= heartbeat {
			own.Sequence++
		} else {
			own = old
		}
	}
	if own != c.members.own {
		c.members.own = own
		c.members.byEntry[c.Self.ID] = &member{status: own, heardAt: now}
	}
	for _, p := range c.Mesh.ConnectedPeers() {
		c.gossipTo(p, now, draining)
	}
}

// anyDraining reports whether any instance is draining.
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

// gossipTo sends the statuses that are due to one peer. Statuses of other data centres are relayed only within this data centre,
// and only by the entry that received them from their source, so that they don't circulate.
func (c *Controller) gossipTo(to string, now time.Time, draining bool) {
	sent := c.members.sent[to]
	if sent == nil {
		sent = make(map[string]sentStatus)
		c.members.sent[to] = sent
	}
	peer := c.members.byEntry[to]
	local := peer != nil && peer.status.DataCentre == c.Self.DataCentre
	var g peerpb.Gossip
	for id, e := range c.members.byEntry {
		interval, minInterval := remoteHeartbeat, minRemoteInterval
		switch {
		case id == c.Self.ID && local:
			interval, minInterval = heartbeat, minStatusInterval
		case id == c.Self.ID:
		case !local || e.receivedFrom != id || e.status.DataCentre == c.Self.DataCentre:
			continue
		default:
			interval, minInterval = relayHeartbeat, minRelayInterval
		}
		last := sent[id]
		age := now.Sub(last.at)
		if last.status != nil && (last.status.Sequence == e.status.Sequence || age < minInterval ||
			(age < interval && equivalentStatus(last.status, e.status, draining))) {
			continue
		}
		g.Statuses = append(g.Statuses, omitKnownAddresses(e.status, last.status))
		sent[id] = sentStatus{e.status, now}
	}
	if len(g.Statuses) > 0 {
		c.sendGossip(to, &g)
	}
}

// fullStatusInterval is the number of sequence numbers after which a full status is sent, in case the peer has restarted.
const fullStatusInterval = 16

// omitKnownAddresses returns the status without its addresses if the peer has been sent them.
func omitKnownAddresses(s, last *peerpb.Status) *peerpb.Status {
	if last == nil || last.Boot != s.Boot || s.Sequence/fullStatusInterval != last.Sequence/fullStatusInterval {
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
			s.Release() // gossip has no response
		}
	}()
}

// equivalentStatus reports whether two statuses differ only in what need not be sent early: the sequence, and the offset unless
// an instance is draining or the version differs.
func equivalentStatus(a, b *peerpb.Status, draining bool) bool {
	x := proto.CloneOf(a)
	x.Sequence = b.Sequence
	if !draining && x.Version == b.Version {
		x.Offset = b.Offset
	}
	return proto.Equal(x, b)
}
