// SPDX-License-Identifier: MIT

package entry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"rackstep.dev/lead"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/platform"
)

// Figures of the relays.
const (
	// peersMost bounds the peers to which an entry keeps links, besides the leader and the seeds.
	peersMost = 4
	// relayTries is how many peers are asked for one call.
	relayTries = 4
	// badFor is how long a peer that gave no answer is asked only after all others.
	badFor = 3 * time.Second
	// relayMargin is left of a call's time for the answer's way back, and relayPatience is for calls without a bound.
	relayMargin   = 20 * time.Millisecond
	relayPatience = time.Second
)

// peerTable holds the addresses for peers of other entries that have asked this one something.
type peerTable struct {
	mu        sync.Mutex
	addresses []string
	// good is the peer that last made a call to the store; bad are those that gave no answer, and until when they rest.
	good string
	bad  map[string]time.Time
}

// heard notes a peer, in place of one without a link when there are enough; it says whether that was news.
func (p *peerTable) heard(address string, up func() []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.addresses, address) {
		return false
	}
	if len(p.addresses) < peersMost {
		p.addresses = append(p.addresses, address)
		return true
	}
	linked := up()
	for i, a := range p.addresses {
		if !slices.Contains(linked, a) {
			p.addresses[i] = address
			return true
		}
	}
	return false
}

func (p *peerTable) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.addresses)
}

func (p *peerTable) setGood(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.good = address
}

// setBad lets a peer that gave no answer rest.
func (p *peerTable) setBad(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bad == nil {
		p.bad = make(map[string]time.Time)
	}
	p.bad[address] = time.Now().Add(badFor)
	if p.good == address {
		p.good = ""
	}
}

// order sorts peers by what can be expected of them: the last good one first, those that rest last.
func (p *peerTable) order(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rank := func(a string) int {
		switch {
		case a == p.good:
			return 0
		case now.Before(p.bad[a]):
			return 2
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// followLeader keeps a link to the entry that schedules.
func (n *Node) followLeader(lead.Record) { n.linkPeers() }

// IsLeader says whether this entry scheduled when it last proved it to the store.
func (n *Node) IsLeader() bool { return n.elector != nil && n.elector.Confirmed() }

// linkPeers keeps links to the leader, the seeds and those that were heard of.
func (n *Node) linkPeers() {
	var peers []peer.Address
	for _, a := range n.peerAddresses() {
		peers = append(peers, peer.Address{Entry: a, Address: a}) // links are named by address
	}
	n.mesh.SetPeers(context.Background(), peers)
}

// peerAddresses returns the addresses of the leader, the seeds and those that were heard of, without this entry's own.
func (n *Node) peerAddresses() []string {
	var out []string
	add := func(address string) {
		if address != "" && address != n.elector.Address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	if r := n.elector.Latest(); !r.Released {
		add(r.Address)
	}
	for _, s := range n.Settings.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			add(net.JoinHostPort(host, strconv.Itoa(n.Settings.Ports[0]))) // ports are alike on all machines
		}
	}
	for _, a := range n.peers.all() {
		add(a)
	}
	return out
}

// relay has a peer make a call to the store; the error is platform.ErrRelayUnsent or platform.ErrRelayLost.
func (n *Node) relay(ctx context.Context, c platform.StoreRequest) (platform.StoreResponse, error) {
	left := relayPatience
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d) - relayMargin
	}
	open := &peerpb.Open{Kind: &peerpb.Open_Store{Store: &peerpb.StoreCall{Method: c.Method, Uri: c.URI, Body: c.Body, RemainingMs: left.Milliseconds()}}}
	up := n.mesh.ConnectedPeers()
	addresses := n.peerAddresses()
	n.peers.order(addresses)
	tries := 0
	last := platform.StoreResponse{}
	for _, address := range addresses {
		if !slices.Contains(up, address) || tries == relayTries {
			continue
		}
		tries++
		var a peerpb.StoreAnswer
		err := n.converse(ctx, address, open, &a)
		switch {
		case errors.Is(err, errBroken), err == nil && a.Status == 0 && !a.Unsent:
			n.peers.setBad(address)
			return last, platform.ErrRelayNoResponse
		case err == nil && a.Status != 0 && !platform.RejectsEntry(int(a.Status)):
			n.peers.setGood(address)
			return platform.StoreResponse{Status: int(a.Status), Body: a.Body}, nil
		case err == nil && a.Status != 0:
			last = platform.StoreResponse{Status: int(a.Status), Body: a.Body}
		}
	}
	if last.Status != 0 {
		return last, nil
	}
	return last, platform.ErrRelayNotSent
}

// answerStore makes a call to the store for another entry.
func (n *Node) answerStore(ctx context.Context, c *peerpb.StoreCall) *peerpb.StoreAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.RemainingMs)*time.Millisecond)
	defer cancel()
	reply, err := n.store.ServeRelayed(ctx, platform.StoreRequest{Method: c.Method, URI: c.Uri, Body: c.Body})
	if err != nil {
		return &peerpb.StoreAnswer{Unsent: errors.Is(err, platform.ErrRelayNotSent)}
	}
	return &peerpb.StoreAnswer{Status: int32(reply.Status), Body: reply.Body}
}
