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

// errBroken means that a question was sent to a peer and not answered.
var errBroken = errors.New("the peer did not answer")

// converse sends one message to a peer and receives one; errBroken means that the peer may have acted.
//
// It returns when the context ends, also while a write to a peer that has fallen silent still hangs.
func (n *Node) converse(ctx context.Context, address string, open *peerpb.Open, answer proto.Message) error {
	type result struct {
		answer proto.Message
		err    error
	}
	done := make(chan result, 1)
	go func() {
		a := answer.ProtoReflect().New().Interface()
		err := n.talk(ctx, address, open, a)
		done <- result{a, err}
	}()
	select {
	case r := <-done:
		if r.err == nil {
			proto.Merge(answer, r.answer)
		}
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("peer %s: %w: %w", address, errBroken, ctx.Err())
	}
}

func (n *Node) talk(ctx context.Context, address string, open *peerpb.Open, answer proto.Message) error {
	s, err := n.mesh.Open(ctx, address, open)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	if err := s.Receive(answer); err != nil {
		s.Close()
		return fmt.Errorf("peer %s: %w: %w", address, errBroken, err)
	}
	s.Release()
	return nil
}

// ask asks the scheduling entry, which may be this one.
func (n *Node) ask(ctx context.Context, q job.Query) (job.Answer, error) {
	leader := n.elector.Latest().Address
	if leader == n.elector.Address {
		return n.scheduler.Ask(ctx, q)
	}
	var a peerpb.JobAnswer
	if err := n.converse(ctx, leader, &peerpb.Open{Kind: &peerpb.Open_Job{Job: &peerpb.JobQuery{Id: q.ID, Queue: q.Queue, Organisation: q.Organisation, Open: q.Open}}}, &a); err != nil {
		n.elector.ReadNow()
		return job.Answer{}, err
	}
	if !a.Known && !a.Certain {
		n.elector.ReadNow()
		return job.Answer{}, fmt.Errorf("ask %s: %w", leader, pool.ErrNotLeading)
	}
	return job.Answer{Known: a.Known, Certain: a.Certain, State: job.State(a.State), Pending: int(a.Pending), Organisation: a.Organisation}, nil
}

// serveStream answers another entry.
func (n *Node) serveStream(ctx context.Context, from peer.Identity, open *peerpb.Open, s *peer.Stream) {
	if n.peers.heard(from.Entry, n.mesh.ConnectedPeers) {
		n.linkPeers()
	}
	var answer proto.Message
	switch {
	case open.GetJob() != nil:
		answer = n.answerQuery(ctx, open.GetJob())
	case open.GetStore() != nil:
		answer = n.answerStore(ctx, open.GetStore())
	default:
		return
	}
	if s.Send(answer) != nil {
		s.Close()
	}
}

func (n *Node) answerQuery(ctx context.Context, q *peerpb.JobQuery) *peerpb.JobAnswer {
	a, err := n.scheduler.Ask(ctx, job.Query{ID: q.Id, Queue: q.Queue, Organisation: q.Organisation, Open: q.Open})
	if err != nil {
		return &peerpb.JobAnswer{} // neither known nor certain
	}
	return &peerpb.JobAnswer{Known: a.Known, Certain: a.Certain, State: uint32(a.State), Pending: int64(a.Pending), Organisation: a.Organisation}
}
