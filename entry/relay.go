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

// Limits and times of relayed calls to the store.
const (
	// maxHeardPeers limits the number of peers to which an entry keeps links, besides the leader and the seeds.
	maxHeardPeers = 4
	// maxRelayAttempts limits the number of peers that are tried for one call.
	maxRelayAttempts = 4
	// unresponsiveBackoff is the time in which a peer that did not reply is tried only after all others.
	unresponsiveBackoff = 3 * time.Second
	// relayMargin is the part of a call's remaining time that is reserved for returning the reply.
	relayMargin = 20 * time.Millisecond
	// defaultRelayTimeout is the timeout of calls without a deadline.
	defaultRelayTimeout = time.Second
)

// peerTable holds the peer addresses of other entries that have opened a stream to this one.
type peerTable struct {
	mu        sync.Mutex
	addresses []string
	// preferred is the peer that last relayed a call successfully.
	preferred string
	// relaying counts the calls that each peer is making for this entry.
	relaying map[string]int
	// backoffUntil is when the backoff of the peers that did not reply ends.
	backoffUntil map[string]time.Time
}

// add adds a peer and reports whether the table has changed. When the table is full, the peer replaces one without a link.
func (p *peerTable) add(address string, up func() []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.addresses, address) {
		return false
	}
	if len(p.addresses) < maxHeardPeers {
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

// markResponsive makes the peer the preferred one.
func (p *peerTable) markResponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preferred = address
}

// markUnresponsive starts the backoff of a peer that did not reply.
func (p *peerTable) markUnresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backoffUntil == nil {
		p.backoffUntil = make(map[string]time.Time)
	}
	p.backoffUntil[address] = time.Now().Add(unresponsiveBackoff)
	if p.preferred == address {
		p.preferred = ""
	}
}

// sortByHealth sorts peers: the preferred one first, those in backoff last.
func (p *peerTable) sortByHealth(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rank := func(a string) int {
		switch {
		case a == p.preferred:
			return 0
		case now.Before(p.backoffUntil[a]):
			return 2
		}
		return 1
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// startRelaying records that a peer makes a call for this entry, and returns the function that records its end.
func (p *peerTable) startRelaying(address string) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relaying == nil {
		p.relaying = make(map[string]int)
	}
	p.relaying[address]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.relaying[address]--; p.relaying[address] == 0 {
			delete(p.relaying, address)
		}
	}
}

// sortForDetour moves two kinds of peers to the end: those that are making a call for this entry, since its answer may be lost,
// and the leader, since its silence is the usual reason for a detour.
func (p *peerTable) sortForDetour(addresses []string, leader string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := func(a string) int {
		if a == leader || p.relaying[a] > 0 {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// followLeader updates the links when the leader changes.
func (n *Node) followLeader(lead.Record) { n.linkPeers() }

// IsLeader reports whether a recent renewal in the store has confirmed this entry as the leader.
func (n *Node) IsLeader() bool { return n.elector != nil && n.elector.Confirmed() }

// linkPeers sets the peers to which links are kept: the leader, the seeds and the peers of the table.
func (n *Node) linkPeers() {
	var peers []peer.Address
	for _, a := range n.peerAddresses() {
		peers = append(peers, peer.Address{Entry: a, Address: a}) // links are identified by address
	}
	n.mesh.SetPeers(context.Background(), peers)
}

// peerAddresses returns the addresses of the leader, the seeds and the peers of the table, without this entry's own.
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
			add(net.JoinHostPort(host, strconv.Itoa(n.Settings.Ports[0]))) // entries use the same ports on all machines
		}
	}
	for _, a := range n.peers.all() {
		add(a)
	}
	return out
}

// relay makes a call to the store through a peer. It tries the next peer when one has not made the call, or when the store may have
// turned away only that one; the error is platform.ErrRelayNotSent or platform.ErrRelayNoResponse.
func (n *Node) relay(ctx context.Context, c platform.StoreRequest) (platform.StoreResponse, error) {
	remaining := defaultRelayTimeout
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d) - relayMargin
	}
	open := &peerpb.Open{Kind: &peerpb.Open_Store{Store: &peerpb.StoreCall{Method: c.Method, Uri: c.URI, Body: c.Body, RemainingMs: remaining.Milliseconds()}}}
	up := n.mesh.ConnectedPeers()
	addresses := n.peerAddresses()
	n.peers.sortByHealth(addresses)
	if c.Detour {
		n.peers.sortForDetour(addresses, n.elector.Latest().Address)
	}
	attempts := 0
	last := platform.StoreResponse{}
	for _, address := range addresses {
		if !slices.Contains(up, address) || attempts == maxRelayAttempts {
			continue
		}
		attempts++
		var a peerpb.StoreAnswer
		stopRelaying := n.peers.startRelaying(address)
		err := n.callPeer(ctx, address, open, &a)
		stopRelaying()
		switch {
		case errors.Is(err, errNoReply), err == nil && a.Status == 0 && !a.Unsent:
			n.peers.markUnresponsive(address)
			return last, platform.ErrRelayNoResponse
		case err == nil && a.Status != 0 && !platform.RejectsEntry(int(a.Status)):
			n.peers.markResponsive(address)
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

// handleStoreCall makes a call to the store on behalf of another entry.
func (n *Node) handleStoreCall(ctx context.Context, c *peerpb.StoreCall) *peerpb.StoreAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.RemainingMs)*time.Millisecond)
	defer cancel()
	reply, err := n.store.ServeRelayed(ctx, platform.StoreRequest{Method: c.Method, URI: c.Uri, Body: c.Body})
	if err != nil {
		return &peerpb.StoreAnswer{Unsent: errors.Is(err, platform.ErrRelayNotSent)}
	}
	return &peerpb.StoreAnswer{Status: int32(reply.Status), Body: reply.Body}
}
