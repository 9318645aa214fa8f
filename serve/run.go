// SPDX-License-Identifier: MIT

package serve

import (
	"context"
	"net/http"
	"slices"
	"time"

	"rackstep.dev/route"
)

// Bounds of the search for a place to run.
const (
	maxPlaces    = 3
	handoverWait = 25 * time.Millisecond
	maxHandover  = 2 * time.Second
)

// runOnce runs the request unless an earlier copy of it is known.
//
// A copy that did not run is told what is known of an earlier one, so that nobody takes "not run" for the request as a whole.
func (s *Server) runOnce(ctx context.Context, v *View, r *request) (*answer, *Problem) {
	if p := s.known(r); p != nil {
		return nil, p
	}
	a, p := s.run(ctx, v, r)
	if p != nil && p.Outcome == OutcomeNotRun {
		if earlier := s.known(r); earlier != nil {
			return nil, earlier
		}
	}
	return a, p
}

// run takes an admitted request to a data centre where it may run.
//
// It first asks for a free slot, and waits in the shortest queue of those nearby when there is none.
func (s *Server) run(ctx context.Context, v *View, r *request) (*answer, *Problem) {
	places := s.places(v, r)
	if len(places) > 1 {
		a, p := s.runFree(ctx, v, r, places)
		if p == nil || !s.goOn(ctx, r, p) {
			return a, p
		}
		s.spares.shortestFirst(r.Service.Name, places[:v.nearby(places)], s.now())
	}
	var last *Problem
	for i, dc := range places {
		if i == maxPlaces {
			break
		}
		a, p := s.runIn(ctx, v, r, dc)
		if p == nil || !s.goOn(ctx, r, p) {
			return a, p
		}
		last = p
	}
	if last != nil {
		return nil, last
	}
	p := notRun(http.StatusServiceUnavailable, ReasonNoTarget, "come back later", "service %q has no available target where the request may run", r.Service.Name)
	p.RetryAfter = time.Second
	return nil, p
}

// runFree runs the request in a data centre that has a free slot; the problem is busy when none has.
//
// The nearest one is asked first, then those of the region and then the rest, each by what is to be expected there.
func (s *Server) runFree(ctx context.Context, v *View, r *request, places []string) (*answer, *Problem) {
	r.NoWait = true
	defer func() { r.NoWait = false }()
	busy := notRun(http.StatusServiceUnavailable, ReasonBusy, "come back later", "no slot of %s is free", r.Service.Name)
	near := v.nearby(places)
	for i, group := range [...][]string{places[:1], places[1:near], places[near:]} {
		if i > 0 {
			group = s.spares.byExpectation(r.Service.Name, group, s.now())
		}
		for _, dc := range group {
			a, p := s.runIn(ctx, v, r, dc)
			if p == nil || !s.goOn(ctx, r, p) {
				return a, p
			}
		}
	}
	return nil, busy
}

// places returns the data centres to try, the nearest first.
func (s *Server) places(v *View, r *request) []string {
	var places []string
	for _, dc := range v.Allowed(r.Service, r.Bound) {
		if slices.Contains(r.Service.AvailableIn, dc) {
			places = append(places, dc)
		}
	}
	return places
}

// goOn says whether the request may be tried in another data centre after the problem.
func (s *Server) goOn(ctx context.Context, r *request, p *Problem) bool {
	if ctx.Err() != nil || !s.now().Before(r.Deadline) {
		return false
	}
	if p.Outcome != OutcomeNotRun {
		return r.Repeatable && p.Reason == ReasonRelay && s.gateOf(r.Service.Name).retries.TryWithdraw()
	}
	switch p.Reason {
	case ReasonBusy, ReasonNoTarget, ReasonQueueFull, ReasonCutOff, ReasonNotOwner, ReasonNotReady, ReasonDeadline, ReasonRefused:
		return true
	}
	return false
}

func (s *Server) runIn(ctx context.Context, v *View, r *request, dc string) (*answer, *Problem) {
	if dc == s.DataCentre {
		return s.local(ctx, r, false)
	}
	s.spares.use(r.Service.Name, dc)
	entry := route.Owner(r.Service.Name, v.Entries[dc])
	if entry == "" {
		p := notRun(http.StatusServiceUnavailable, ReasonCutOff, "come back later", "no entry of data centre %s can be reached", dc)
		p.RetryAfter = time.Second
		return nil, p
	}
	return s.relay(ctx, dc, entry, r, false)
}

// local runs the request in this data centre: here when this entry owns the gate, else at the owner.
//
// While two entries disagree about the owner, each refuses what the other sends, and the request waits for them to agree.
func (s *Server) local(ctx context.Context, r *request, direct bool) (*answer, *Problem) {
	start := s.now()
	for {
		v := s.View()
		svc := v.Services[r.Service.Name]
		if svc == nil {
			return nil, notRun(http.StatusNotFound, ReasonNoService, "look at the services of the configuration", "service %q has gone", r.Service.Name)
		}
		r.Service = svc
		a, p := s.localOnce(ctx, r, direct)
		if p == nil || p.Outcome != OutcomeNotRun || (p.Reason != ReasonNotOwner && p.Reason != ReasonCutOff) {
			return a, p
		}
		if s.now().Sub(start) > maxHandover || !sleep(ctx, handoverWait) {
			return nil, p
		}
	}
}

func (s *Server) localOnce(ctx context.Context, r *request, direct bool) (*answer, *Problem) {
	svc := r.Service
	switch {
	case svc.Owner == "":
		p := notRun(http.StatusServiceUnavailable, ReasonNoTarget, "come back later", "service %q has no available target in %s", svc.Name, s.DataCentre)
		p.RetryAfter = time.Second
		return nil, p
	case svc.Owner == s.Self:
		return s.execute(ctx, r)
	case direct:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotOwner, "come back later", "entry %s does not run the gate of %s", s.Self, svc.Name)
	}
	return s.relay(ctx, s.DataCentre, svc.Owner, r, true)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
