// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"rackstep.dev/feed"
	"rackstep.dev/intake"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/pool"
)

// Times of what entries ask each other.
const (
	// blindAfter is how long the store must not have answered before others are asked who leads.
	blindAfter = 1500 * time.Millisecond
	// askLeaderEvery is the pause between two such questions.
	askLeaderEvery   = 400 * time.Millisecond
	askLeaderTimeout = 300 * time.Millisecond
	// forwardMargin is left of a client's time for the answer's way back.
	forwardMargin = 50 * time.Millisecond
)

// followLeader keeps links to the entry that schedules and to the seeds.
func (n *Node) followLeader(r lead.Record) {
	addresses := append([]string{}, n.seeds()...)
	if !r.Released && r.Address != "" {
		addresses = append(addresses, r.Address)
	}
	var peers []peer.Address
	for _, a := range addresses {
		if a != n.elector.Address {
			peers = append(peers, peer.Address{Entry: a, Address: a}) // links are named by address
		}
	}
	n.mesh.SetPeers(context.Background(), peers)
}

// seeds returns the addresses for peers of the entries that the settings name: ports are alike on all machines.
func (n *Node) seeds() []string {
	var out []string
	for _, s := range n.Settings.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(n.Settings.Ports[0])))
		}
	}
	return out
}

// watchLeader asks the seeds who leads while the store does not answer this entry, until the context ends.
func (n *Node) watchLeader(ctx context.Context) error {
	t := time.NewTicker(askLeaderEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if !n.elector.Blind(blindAfter) {
			continue
		}
		for _, address := range n.seeds() {
			if address != n.elector.Address {
				n.askLeader(ctx, address)
			}
		}
	}
}

// askLeader learns from a peer who leads; a peer that does not answer is asked again with the next look.
func (n *Node) askLeader(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askLeaderTimeout)
	defer cancel()
	var a peerpb.Leader
	if n.converse(ctx, address, &peerpb.Open{Kind: &peerpb.Open_Leader{Leader: &peerpb.LeaderQuery{}}}, &a) != nil || a.Fence == 0 {
		return
	}
	n.elector.Observe(lead.Record{Entry: a.Entry, Address: a.Address, Boot: a.Boot, Term: a.Term, Fence: a.Fence, Released: a.Released})
}

// errBroken means that a question was sent to a peer and not answered.
var errBroken = errors.New("the peer did not answer")

// converse sends one message to a peer and receives one; errBroken means that the peer may have acted.
func (n *Node) converse(ctx context.Context, address string, open *peerpb.Open, answer proto.Message) error {
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
func (n *Node) ask(ctx context.Context, id, queue string) (pool.Answer, error) {
	leader := n.elector.Latest().Address
	if leader == n.elector.Address {
		return n.scheduler.Ask(ctx, id, queue)
	}
	var a peerpb.JobAnswer
	if err := n.converse(ctx, leader, &peerpb.Open{Kind: &peerpb.Open_Job{Job: &peerpb.JobQuery{Id: id, Queue: queue}}}, &a); err != nil {
		return pool.Answer{}, err
	}
	if !a.Known && !a.Certain {
		return pool.Answer{}, fmt.Errorf("ask %s: %w", leader, pool.ErrNotLeading)
	}
	return pool.Answer{Known: a.Known, Certain: a.Certain, State: job.State(a.State), Pending: int(a.Pending)}, nil
}

// forward has another entry write what a client handed in: the leader, or else a seed.
func (n *Node) forward(ctx context.Context, r feed.KeyedRecord) (int64, error) {
	left := time.Second
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d) - forwardMargin
	}
	open := &peerpb.Open{Kind: &peerpb.Open_Write{Write: &peerpb.JobWrite{Key: r.Key, Value: r.Value, RemainingMs: left.Milliseconds()}}}
	refused := fmt.Errorf("%w: no peer could write it", intake.ErrRefused)
	for _, address := range append([]string{n.elector.Latest().Address}, n.seeds()...) {
		if address == "" || address == n.elector.Address {
			continue
		}
		end, err := n.forwardTo(ctx, address, open)
		if err == nil || !errors.Is(err, intake.ErrRefused) {
			return end, err
		}
		refused = err
	}
	return 0, refused
}

func (n *Node) forwardTo(ctx context.Context, address string, open *peerpb.Open) (int64, error) {
	var a peerpb.JobWriteAnswer
	err := n.converse(ctx, address, open, &a)
	switch {
	case errors.Is(err, peer.ErrNoLink):
		return 0, fmt.Errorf("%w: %w", intake.ErrRefused, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", intake.ErrInDoubt, err)
	}
	switch a.Outcome {
	case peerpb.JobWriteAnswer_OUTCOME_WRITTEN:
		return a.End, nil
	case peerpb.JobWriteAnswer_OUTCOME_REFUSED:
		return 0, fmt.Errorf("%w: peer %s can't write either", intake.ErrRefused, address)
	}
	return 0, fmt.Errorf("%w: peer %s has no answer", intake.ErrInDoubt, address)
}

// serveStream answers another entry.
func (n *Node) serveStream(ctx context.Context, _ peer.Identity, open *peerpb.Open, s *peer.Stream) {
	var answer proto.Message
	switch {
	case open.GetJob() != nil:
		answer = n.answerQuery(ctx, open.GetJob())
	case open.GetWrite() != nil:
		answer = n.answerWrite(ctx, open.GetWrite())
	case open.GetLeader() != nil:
		r := n.elector.Latest()
		answer = &peerpb.Leader{Entry: r.Entry, Address: r.Address, Boot: r.Boot, Term: r.Term, Fence: r.Fence, Released: r.Released}
	default:
		return
	}
	if s.Send(answer) != nil {
		s.Close()
	}
}

func (n *Node) answerQuery(ctx context.Context, q *peerpb.JobQuery) *peerpb.JobAnswer {
	a, err := n.scheduler.Ask(ctx, q.Id, q.Queue)
	if err != nil {
		return &peerpb.JobAnswer{} // neither known nor certain
	}
	return &peerpb.JobAnswer{Known: a.Known, Certain: a.Certain, State: uint32(a.State), Pending: int64(a.Pending)}
}

func (n *Node) answerWrite(ctx context.Context, w *peerpb.JobWrite) *peerpb.JobWriteAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.RemainingMs)*time.Millisecond)
	defer cancel()
	end, _, err := n.ingress.Intake.Writer.Write(ctx, feed.KeyedRecord{Key: w.Key, Value: w.Value})
	switch {
	case err == nil:
		return &peerpb.JobWriteAnswer{Outcome: peerpb.JobWriteAnswer_OUTCOME_WRITTEN, End: end}
	case errors.Is(err, intake.ErrRefused):
		return &peerpb.JobWriteAnswer{Outcome: peerpb.JobWriteAnswer_OUTCOME_REFUSED}
	}
	return &peerpb.JobWriteAnswer{Outcome: peerpb.JobWriteAnswer_OUTCOME_IN_DOUBT}
}
