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
	slices.SortFunc(s.Held, func(a, b *peerpb.Held) int { return strings.Compare(a.Instance, b.Instance) })
	return s
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
	for _, p := range c.Mesh.ConnectedPeers() {
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

// sameStatus compares what matters of two statuses to others; offsets matter only while instances drain.
func sameStatus(a, b *peerpb.Status, draining bool) bool {
	x := proto.CloneOf(a)
	x.Sequence = b.Sequence
	if !draining && x.Version == b.Version {
		x.Offset = b.Offset
	}
	return proto.Equal(x, b)
}
