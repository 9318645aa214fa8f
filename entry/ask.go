// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"

	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/pool"
)

// followLeader keeps a link to the entry that schedules.
func (n *Node) followLeader(r lead.Record) {
	var peers []peer.Address
	if !r.Released && r.Entry != n.Settings.Entry {
		peers = []peer.Address{{Entry: r.Entry, Address: r.Address}}
	}
	n.mesh.SetPeers(context.Background(), peers)
}

// ask asks the scheduling entry, which may be this one.
func (n *Node) ask(ctx context.Context, id, queue string) (pool.Answer, error) {
	leader := n.elector.Latest().Entry
	if leader == n.Settings.Entry {
		return n.scheduler.Ask(ctx, id, queue)
	}
	s, err := n.mesh.Open(ctx, leader, &peerpb.Open{Kind: &peerpb.Open_Job{Job: &peerpb.JobQuery{Id: id, Queue: queue}}})
	if err != nil {
		return pool.Answer{}, fmt.Errorf("ask %q: %w", leader, err)
	}
	var a peerpb.JobAnswer
	if err := s.Receive(&a); err != nil {
		s.Close()
		return pool.Answer{}, fmt.Errorf("ask %q: %w", leader, err)
	}
	s.Release()
	if !a.Known && !a.Certain {
		return pool.Answer{}, fmt.Errorf("ask %q: %w", leader, pool.ErrNotLeading)
	}
	return pool.Answer{Known: a.Known, Certain: a.Certain, State: job.State(a.State), Pending: int(a.Pending)}, nil
}

// serveStream answers another entry's question.
func (n *Node) serveStream(ctx context.Context, _ peer.Identity, open *peerpb.Open, s *peer.Stream) {
	q := open.GetJob()
	if q == nil {
		return
	}
	a, err := n.scheduler.Ask(ctx, q.Id, q.Queue)
	if err != nil {
		a = pool.Answer{} // neither known nor certain
	}
	answer := &peerpb.JobAnswer{Known: a.Known, Certain: a.Certain, State: uint32(a.State), Pending: int64(a.Pending)}
	if s.Send(answer) != nil {
		s.Close()
	}
}
