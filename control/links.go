// SPDX-License-Identifier: MIT

package control

import (
	"slices"
	"time"

	"rackstep.dev/peer"
	"rackstep.dev/route"
)

// updateLinks keeps links to all entries of this data centre and to a few entries of each other data centre.
func (c *Controller) updateLinks() {
	remote := make(map[string][]peer.Address)
	var peers []peer.Address
	add := func(id, dataCentre, address string) {
		switch {
		case id == c.Self.ID || address == "":
		case dataCentre == c.Self.DataCentre:
			peers = append(peers, peer.Address{Entry: id, Address: address})
		default:
			remote[dataCentre] = append(remote[dataCentre], peer.Address{Entry: id, Address: address})
		}
	}
	for id, a := range c.peerAddresses() {
		add(id, a.DataCentre, a.Address)
	}
	for _, list := range remote {
		peers = append(peers, c.chooseRemotePeers(list)...)
	}
	c.Mesh.SetPeers(c.ctx, peers)
}

// peerAddresses returns all entries that may be live. An entry's own status takes precedence over the tables, and the tables over
// the seeds.
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
		if now.Sub(e.heardAt) < remoteLiveTimeout {
			all[id] = Seed{Entry: id, DataCentre: e.status.DataCentre, Address: e.status.PeerAddress}
		}
	}
	return all
}

// chooseRemotePeers selects the entries of one other data centre to which this entry links, preferring live ones.
func (c *Controller) chooseRemotePeers(list []peer.Address) []peer.Address {
	now := time.Now()
	ids := make([]string, 0, len(list))
	byID := make(map[string]peer.Address, len(list))
	for _, a := range list {
		byID[a.Entry] = a
		ids = append(ids, a.Entry)
	}
	var chosen []peer.Address
	for len(ids) > 0 && len(chosen) < linksPerDataCentre {
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
