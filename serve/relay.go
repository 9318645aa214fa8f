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

// relay sends the request to an entry of the data centre and returns that entry's response.
//
// With direct, the other entry must run the request itself and not relay it further.
func (s *Server) relay(ctx context.Context, dataCentre, entry string, r *request, direct bool) (*response, *Problem) {
	s.reportStep(StepRelay, false)
	defer s.reportStep(StepRelay, true)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	stream, err := s.Mesh.Open(ctx, entry, &peerpb.Open{Kind: &peerpb.Open_Relay{Relay: s.relayRequest(r, direct)}})
	if errors.Is(err, peer.ErrNoLink) {
		cancel()
		p := notRun(http.StatusServiceUnavailable, ReasonDataCentreUnreachable, "come back later", "entry %s can't be reached", entry)
		p.RetryAfter = time.Second
		return nil, p
	}
	if err != nil {
		cancel()
		return nil, relayLostProblem(r, entry, err)
	}
	var head peerpb.RelayAnswer
	if err := stream.Receive(&head); err != nil {
		stream.Close()
		cancel()
		return nil, relayLostProblem(r, entry, err)
	}
	if head.Spare != nil {
		s.freeSlots.report(r.Service.Name, dataCentre, int(*head.Spare), s.now())
	}
	finish := func(complete bool) {
		if complete {
			stream.Release()
		} else {
			stream.Close()
		}
		cancel()
	}
	if head.Problem != nil {
		finish(true)
		return nil, problemFromProto(&head)
	}
	resp := &response{Status: int(head.Status), Header: headersFromProto(head.Headers), Body: head.Body, Finish: finish}
	if !head.Whole {
		resp.Rest = &chunkReader{stream: stream}
	}
	return resp, nil
}

// relayLostProblem returns the problem for a request that was sent to the entry and may have run there.
func relayLostProblem(r *request, entry string, err error) *Problem {
	remedy := "send it again; it is repeatable"
	if !r.Repeatable {
		remedy = "ask again with the same key; it is not run a second time"
	}
	return unknown(http.StatusBadGateway, ReasonRelayFailed, remedy, "the answer from entry %s was lost: %v", entry, err)
}

func (s *Server) relayRequest(r *request, direct bool) *peerpb.RelayRequest {
	m := &peerpb.RelayRequest{
		Id: r.ID, Service: r.Service.Name, Team: r.Team, Share: int32(r.Share), Method: r.Method, Path: r.Path, Body: r.Body,
		Headers: headersToProto(r.Header), Urgent: r.Urgent, Repeatable: r.Repeatable, Key: r.Key,
		RemainingUs: r.Deadline.Sub(s.now()).Microseconds(), Direct: direct, DataCentre: r.DataCentre,
		NoWait: r.NoWait,
	}
	if !r.Repeatable {
		m.NotAfterUnixMs = r.NotAfter.UnixMilli()
	}
	return m
}

// ServeRelay runs a request that another entry has sent and streams the response back.
func (s *Server) ServeRelay(ctx context.Context, m *peerpb.RelayRequest, stream *peer.Stream) {
	s.active.Add(1)
	defer s.active.Add(-1)
	// The sender closes the stream when its caller disconnects, which ends the context.
	resp, p := s.runRelayed(ctx, m)
	if p != nil {
		head := problemToProto(p)
		head.Spare = s.freeSlotCount(m.Service, 0)
		_ = stream.Send(head) // an error means that the sender has closed the stream
		return
	}
	complete := false
	defer func() { resp.Finish(complete) }()
	ending := 0
	if resp.Rest == nil {
		ending = 1
	}
	head := &peerpb.RelayAnswer{Status: int32(resp.Status), Headers: headersToProto(resp.Header), Body: resp.Body, Whole: resp.Rest == nil, Spare: s.freeSlotCount(m.Service, ending)}
	if stream.Send(head) != nil && resp.Rest != nil {
		return
	}
	complete = resp.Rest == nil || sendChunks(stream, resp.Rest)
}

// freeSlotCount returns the service's number of free slots to report to another entry, or nil when this entry does not own the
// service. ending is the number of requests that still hold a slot and are about to release it.
func (s *Server) freeSlotCount(service string, ending int) *int32 {
	v := s.View()
	if v == nil || v.Services[service] == nil || v.Services[service].Owner != s.Self {
		return nil
	}
	n := int32(s.gate(service).Spare() + ending)
	return &n
}

// runRelayed checks a request from another entry against this entry's own view, and runs it.
func (s *Server) runRelayed(ctx context.Context, m *peerpb.RelayRequest) (*response, *Problem) {
	v := s.View()
	if v == nil {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "entry %s has no tables yet", s.Self)
	}
	svc := v.Services[m.Service]
	if svc == nil {
		return nil, notRun(http.StatusNotFound, ReasonNoSuchService, "come back later", "entry %s does not know service %q", s.Self, m.Service)
	}
	r := &request{
		ID: m.Id, Service: svc, Team: m.Team, Share: int(m.Share), Method: m.Method, Path: m.Path, Header: headersFromProto(m.Headers),
		Body: m.Body, Urgent: m.Urgent, Repeatable: m.Repeatable, Key: m.Key, NotAfter: time.UnixMilli(m.NotAfterUnixMs),
		Deadline: s.now().Add(time.Duration(m.RemainingUs) * time.Microsecond), DataCentre: m.DataCentre, NoWait: m.NoWait,
	}
	if !slices.Contains(v.Allowed(svc, r.DataCentre), s.DataCentre) {
		return nil, notRun(http.StatusForbidden, ReasonResidency, "come back later", "service %q may not run in %s", svc.Name, s.DataCentre)
	}
	if m.Direct && svc.Owner != s.Self {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotOwner, "come back later", "entry %s does not run the gate of %s", s.Self, svc.Name)
	}
	return s.runLocally(ctx, r, m.Direct)
}

// sendChunks streams the body and reports whether it was sent to its end. A read error is reported to the other side as a broken
// chunk.
func sendChunks(stream *peer.Stream, body io.Reader) (complete bool) {
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

// chunkReader reads the rest of a body from the chunks that follow a RelayAnswer.
type chunkReader struct {
	stream *peer.Stream
	rest   []byte
	end    bool
}

// Read reads the next bytes of the body. It returns errTruncated when the body is incomplete.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.end {
			return 0, io.EOF
		}
		var m peerpb.Chunk
		if err := c.stream.Receive(&m); err != nil {
			return 0, errors.Join(errTruncated, err)
		}
		if m.Broken {
			return 0, errTruncated
		}
		c.rest, c.end = m.Data, m.End
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func headersToProto(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromProto(headers []*peerpb.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, f := range headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}

func problemToProto(p *Problem) *peerpb.RelayAnswer {
	return &peerpb.RelayAnswer{Status: int32(p.Status), Problem: &peerpb.Problem{
		Outcome: string(p.Outcome), Reason: string(p.Reason), Detail: p.Detail, Remedy: p.Remedy,
		RetryAfterUs: p.RetryAfter.Microseconds(), FirstStatus: int32(p.FirstStatus),
	}}
}

func problemFromProto(m *peerpb.RelayAnswer) *Problem {
	p := m.Problem
	return &Problem{
		Status: int(m.Status), Outcome: Outcome(p.Outcome), Reason: Reason(p.Reason), Detail: p.Detail, Remedy: p.Remedy,
		RetryAfter: time.Duration(p.RetryAfterUs) * time.Microsecond, FirstStatus: int(p.FirstStatus),
	}
}
