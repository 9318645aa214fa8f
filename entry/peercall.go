// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"rackstep.dev/job"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/pool"
)

// errNoReply means that a message was sent to a peer and no reply was received.
var errNoReply = errors.New("the peer did not answer")

// callPeer sends a message to a peer and receives the reply. After errNoReply, the peer may have carried out the request.
//
// It returns when the context ends, even if a write to an unresponsive peer still blocks.
func (n *Node) callPeer(ctx context.Context, address string, open *peerpb.Open, reply proto.Message) error {
	type result struct {
		reply proto.Message
		err   error
	}
	done := make(chan result, 1)
	go func() {
		m := reply.ProtoReflect().New().Interface()
		err := n.exchange(ctx, address, open, m)
		done <- result{m, err}
	}()
	select {
	case r := <-done:
		if r.err == nil {
			proto.Merge(reply, r.reply)
		}
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("peer %s: %w: %w", address, errNoReply, ctx.Err())
	}
}

// exchange sends a message to a peer and receives the reply; it may block while the peer is unresponsive.
func (n *Node) exchange(ctx context.Context, address string, open *peerpb.Open, reply proto.Message) error {
	s, err := n.mesh.Open(ctx, address, open)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	if err := s.Receive(reply); err != nil {
		s.Close()
		return fmt.Errorf("peer %s: %w: %w", address, errNoReply, err)
	}
	s.Release()
	return nil
}

// queryJob queries the scheduling entry, which may be this one, about a job or a queue.
func (n *Node) queryJob(ctx context.Context, q job.Query) (job.Answer, error) {
	leader := n.elector.Latest().Address
	if leader == n.elector.Address {
		return n.scheduler.Ask(ctx, q)
	}
	var a peerpb.JobAnswer
	if err := n.callPeer(ctx, leader, &peerpb.Open{Kind: &peerpb.Open_Job{Job: &peerpb.JobQuery{Id: q.ID, Queue: q.Queue, Organisation: q.Organisation, Open: q.Open, Cancel: q.Cancel}}}, &a); err != nil {
		n.elector.ReadNow()
		return job.Answer{}, err
	}
	if !a.Known && !a.Certain {
		n.elector.ReadNow()
		return job.Answer{}, fmt.Errorf("ask %s: %w", leader, pool.ErrNotLeading)
	}
	return job.Answer{Known: a.Known, Certain: a.Certain, State: job.State(a.State), Pending: int(a.Pending), Organisation: a.Organisation}, nil
}

// serveStream handles a stream that another entry has opened.
func (n *Node) serveStream(ctx context.Context, from peer.Identity, open *peerpb.Open, s *peer.Stream) {
	if n.peers.add(from.Entry, n.mesh.ConnectedPeers) {
		n.linkPeers()
	}
	var reply proto.Message
	switch {
	case open.GetJob() != nil:
		reply = n.handleJobQuery(ctx, open.GetJob())
	case open.GetStore() != nil:
		reply = n.handleStoreCall(ctx, open.GetStore())
	case open.GetLeadReport() != nil:
		reply = n.handleLeadReport(open.GetLeadReport())
	default:
		return
	}
	if s.Send(reply) != nil {
		s.Close()
	}
}

// handleJobQuery answers another entry's query with what this entry's scheduler knows.
func (n *Node) handleJobQuery(ctx context.Context, q *peerpb.JobQuery) *peerpb.JobAnswer {
	if asksForRoom(q) {
		return &peerpb.JobAnswer{Known: n.hasRoom(), Certain: true}
	}
	a, err := n.scheduler.Ask(ctx, job.Query{ID: q.Id, Queue: q.Queue, Organisation: q.Organisation, Open: q.Open, Cancel: q.Cancel})
	if err != nil {
		return &peerpb.JobAnswer{} // neither known nor certain: this entry does not schedule, or does not know the answer
	}
	return &peerpb.JobAnswer{Known: a.Known, Certain: a.Certain, State: uint32(a.State), Pending: int64(a.Pending), Organisation: a.Organisation}
}
