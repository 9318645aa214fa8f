// SPDX-License-Identifier: MIT

package control

import (
	"slices"
	"time"

	"rackstep.dev/peer"
	"rackstep.dev/route"
)

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
