// SPDX-License-Identifier: MIT

package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
)

// relay sends the request to another entry, in the data centre, and returns the answer from there.
//
// direct says that the other entry is to run it itself.
func (s *Server) relay(ctx context.Context, dataCentre, entry string, r *request, direct bool) (*answer, *Problem) {
	s.probe(StepRelay, false)
	defer s.probe(StepRelay, true)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	stream, err := s.Mesh.Open(ctx, entry, &peerpb.Open{Kind: &peerpb.Open_Relay{Relay: s.relayRequest(r, direct)}})
	if errors.Is(err, peer.ErrNoLink) {
		cancel()
		p := notRun(http.StatusServiceUnavailable, ReasonCutOff, "come back later", "entry %s can't be reached", entry)
		p.RetryAfter = time.Second
		return nil, p
	}
	if err != nil {
		cancel()
		return nil, relayLost(r, entry, err)
	}
	var head peerpb.RelayAnswer
	if err := stream.Receive(&head); err != nil {
		stream.Close()
		cancel()
		return nil, relayLost(r, entry, err)
	}
	if head.Spare != nil {
		s.spares.tell(r.Service.Name, dataCentre, int(*head.Spare), s.now())
	}
	end := func(whole bool) {
		if whole {
			stream.Release()
		} else {
			stream.Close()
		}
		cancel()
	}
	if head.Problem != nil {
		end(true)
		return nil, problemFrom(&head)
	}
	a := &answer{Status: int(head.Status), Header: headerFrom(head.Headers), Body: head.Body, End: end}
	if !head.Whole {
		a.Rest = &chunkReader{stream: stream}
	}
	return a, nil
}

func relayLost(r *request, entry string, err error) *Problem {
	remedy := "send it again; it is repeatable"
	if !r.Repeatable {
		remedy = "ask again with the same key; it is not run a second time"
	}
	return unknown(http.StatusBadGateway, ReasonRelay, remedy, "the answer from entry %s was lost: %v", entry, err)
}

func (s *Server) relayRequest(r *request, direct bool) *peerpb.RelayRequest {
	m := &peerpb.RelayRequest{
		Id: r.ID, Service: r.Service.Name, Team: r.Team, Share: int32(r.Share), Method: r.Method, Path: r.Path, Body: r.Body,
		Headers: headersTo(r.Header), Urgent: r.Urgent, Repeatable: r.Repeatable, Key: r.Key,
		RemainingUs: r.Deadline.Sub(s.now()).Microseconds(), Direct: direct, DataCentre: r.Bound,
		NoWait: r.NoWait,
	}
	if !r.Repeatable {
		m.NotAfterUnixMs = r.NotAfter.UnixMilli()
	}
	return m
}

// ServeRelay runs a request that another entry has sent and streams the answer back.
func (s *Server) ServeRelay(ctx context.Context, m *peerpb.RelayRequest, stream *peer.Stream) {
	s.active.Add(1)
	defer s.active.Add(-1)
	// The context ends when the sender closes the stream, because its caller has gone.
	a, p := s.relayed(ctx, m)
	if p != nil {
		head := problemTo(p)
		head.Spare = s.spareOf(m.Service, 0)
		_ = stream.Send(head) // a sender that has gone can't be told
		return
	}
	whole := false
	defer func() { a.End(whole) }()
	ending := 0
	if a.Rest == nil {
		ending = 1
	}
	head := &peerpb.RelayAnswer{Status: int32(a.Status), Headers: headersTo(a.Header), Body: a.Body, Whole: a.Rest == nil, Spare: s.spareOf(m.Service, ending)}
	if stream.Send(head) != nil && a.Rest != nil {
		return
	}
	whole = a.Rest == nil || sendChunks(stream, a.Rest)
}

// spareOf returns what this entry tells of the service's free slots, or nil when another one runs the gate; ending is the
// number of requests that still hold a slot and are about to end.
func (s *Server) spareOf(service string, ending int) *int32 {
	v := s.View()
	if v == nil || v.Services[service] == nil || v.Services[service].Owner != s.Self {
		return nil
	}
	n := int32(s.gateOf(service).Spare() + ending)
	return &n
}

// relayed checks and runs a request from another entry; this entry's own view decides what is allowed.
func (s *Server) relayed(ctx context.Context, m *peerpb.RelayRequest) (*answer, *Problem) {
	v := s.View()
	if v == nil {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "entry %s has no tables yet", s.Self)
	}
	svc := v.Services[m.Service]
	if svc == nil {
		return nil, notRun(http.StatusNotFound, ReasonNoService, "come back later", "entry %s does not know service %q", s.Self, m.Service)
	}
	r := &request{
		ID: m.Id, Service: svc, Team: m.Team, Share: int(m.Share), Method: m.Method, Path: m.Path, Header: headerFrom(m.Headers),
		Body: m.Body, Urgent: m.Urgent, Repeatable: m.Repeatable, Key: m.Key, NotAfter: time.UnixMilli(m.NotAfterUnixMs),
		Deadline: s.now().Add(time.Duration(m.RemainingUs) * time.Microsecond), Bound: m.DataCentre, NoWait: m.NoWait,
	}
	if !slices.Contains(v.Allowed(svc, r.Bound), s.DataCentre) {
		return nil, notRun(http.StatusForbidden, ReasonResidency, "come back later", "service %q may not run in %s", svc.Name, s.DataCentre)
	}
	if m.Direct && svc.Owner != s.Self {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotOwner, "come back later", "entry %s does not run the gate of %s", s.Self, svc.Name)
	}
	return s.local(ctx, r, m.Direct)
}

func sendChunks(stream *peer.Stream, body io.Reader) (whole bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		end := err == io.EOF
		broken := err != nil && !end
		if stream.Send(&peerpb.Chunk{Data: buf[:n], End: end, Broken: broken}) != nil || broken {
			return false
		}
		if end {
			return true
		}
	}
}

// chunkReader reads the chunks that follow a RelayAnswer.
type chunkReader struct {
	stream *peer.Stream
	rest   []byte
	end    bool
}

// Read returns the next bytes; it fails with errBroken when the answer is not whole.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.end {
			return 0, io.EOF
		}
		var m peerpb.Chunk
		if err := c.stream.Receive(&m); err != nil {
			return 0, errors.Join(errBroken, err)
		}
		if m.Broken {
			return 0, errBroken
		}
		c.rest, c.end = m.Data, m.End
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func headersTo(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func headerFrom(headers []*peerpb.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, f := range headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}

func problemTo(p *Problem) *peerpb.RelayAnswer {
	return &peerpb.RelayAnswer{Status: int32(p.Status), Problem: &peerpb.Problem{
		Outcome: string(p.Outcome), Reason: string(p.Reason), Detail: p.Detail, Remedy: p.Remedy,
		RetryAfterUs: p.RetryAfter.Microseconds(), FirstStatus: int32(p.FirstStatus),
	}}
}

func problemFrom(m *peerpb.RelayAnswer) *Problem {
	p := m.Problem
	return &Problem{
		Status: int(m.Status), Outcome: Outcome(p.Outcome), Reason: Reason(p.Reason), Detail: p.Detail, Remedy: p.Remedy,
		RetryAfter: time.Duration(p.RetryAfterUs) * time.Microsecond, FirstStatus: int(p.FirstStatus),
	}
}
