// SPDX-License-Identifier: MIT

package serve

import (
	"context"
	"net/http"
	"slices"
	"time"

	"rackstep.dev/route"
)

// Limits of the search for a data centre and an owner.
const (
	maxDataCentres  = 3
	ownerRetryDelay = 25 * time.Millisecond
	maxOwnerWait    = 2 * time.Second
)

// runDeduplicated runs the request unless the claims log holds an earlier copy of it.
//
// When this copy did not run, the log is checked again: not-run would be misleading if another copy was claimed meanwhile.
func (s *Server) runDeduplicated(ctx context.Context, v *View, r *request) (*response, *Problem) {
	if p := s.earlierProblem(r); p != nil {
		return nil, p
	}
	resp, p := s.run(ctx, v, r)
	if p != nil && p.Outcome == OutcomeNotRun {
		if earlier := s.earlierProblem(r); earlier != nil {
			return nil, earlier
		}
	}
	return resp, p
}

// run routes an admitted request to a data centre where it may run.
//
// It first looks for a free slot. When there is none, the request waits in the shortest queue of the nearby data centres.
func (s *Server) run(ctx context.Context, v *View, r *request) (*response, *Problem) {
	candidates := s.candidates(v, r)
	if len(candidates) > 1 {
		resp, p := s.runOnFreeSlot(ctx, v, r, candidates)
		if p == nil || !s.mayTryElsewhere(ctx, r, p) {
			return resp, p
		}
		s.freeSlots.preferShortestQueue(r.Service.Name, candidates[:v.nearbyCount(candidates)], s.now())
	}
	var last *Problem
	for i, dc := range candidates {
		if i == maxDataCentres {
			break
		}
		resp, p := s.runInDataCentre(ctx, v, r, dc)
		if p == nil || !s.mayTryElsewhere(ctx, r, p) {
			return resp, p
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

// runOnFreeSlot runs the request in a data centre that has a free slot, or returns a problem with ReasonBusy when none has.
//
// It tries the nearest data centre first, then the others of the region, then the rest. The last two groups are each ordered by
// the estimated number of free slots.
func (s *Server) runOnFreeSlot(ctx context.Context, v *View, r *request, candidates []string) (*response, *Problem) {
	r.NoWait = true
	defer func() { r.NoWait = false }()
	busy := notRun(http.StatusServiceUnavailable, ReasonBusy, "come back later", "no slot of %s is free", r.Service.Name)
	nearby := v.nearbyCount(candidates)
	for i, group := range [...][]string{candidates[:1], candidates[1:nearby], candidates[nearby:]} {
		if i > 0 {
			group = s.freeSlots.byEstimate(r.Service.Name, group, s.now())
		}
		for _, dc := range group {
			resp, p := s.runInDataCentre(ctx, v, r, dc)
			if p == nil || !s.mayTryElsewhere(ctx, r, p) {
				return resp, p
			}
		}
	}
	return nil, busy
}

// candidates returns the data centres where the request may run and the service has a target, nearest first.
func (s *Server) candidates(v *View, r *request) []string {
	var candidates []string
	for _, dc := range v.Allowed(r.Service, r.DataCentre) {
		if slices.Contains(r.Service.AvailableIn, dc) {
			candidates = append(candidates, dc)
		}
	}
	return candidates
}

// mayTryElsewhere reports whether the request may be tried in another data centre after the problem.
func (s *Server) mayTryElsewhere(ctx context.Context, r *request, p *Problem) bool {
	if ctx.Err() != nil || !s.now().Before(r.Deadline) {
		return false
	}
	if p.Outcome != OutcomeNotRun {
		return r.Repeatable && p.Reason == ReasonRelayFailed && s.gate(r.Service.Name).retries.TryWithdraw()
	}
	switch p.Reason {
	case ReasonBusy, ReasonNoTarget, ReasonQueueFull, ReasonDataCentreUnreachable, ReasonNotOwner, ReasonNotReady, ReasonDeadline, ReasonTargetRefused:
		return true
	}
	return false
}

// runInDataCentre runs the request in the data centre, through one of its entries unless it is this entry's own.
func (s *Server) runInDataCentre(ctx context.Context, v *View, r *request, dc string) (*response, *Problem) {
	if dc == s.DataCentre {
		return s.runLocally(ctx, r, false)
	}
	s.freeSlots.consume(r.Service.Name, dc)
	entry := route.Owner(r.Service.Name, v.Entries[dc])
	if entry == "" {
		p := notRun(http.StatusServiceUnavailable, ReasonDataCentreUnreachable, "come back later", "no entry of data centre %s can be reached", dc)
		p.RetryAfter = time.Second
		return nil, p
	}
	return s.relay(ctx, dc, entry, r, false)
}

// runLocally runs the request in this data centre: on this entry if it owns the service, otherwise on the owner.
//
// While two entries disagree about the owner, each rejects the other's requests. The request is retried until they agree, for at
// most maxOwnerWait.
func (s *Server) runLocally(ctx context.Context, r *request, direct bool) (*response, *Problem) {
	start := s.now()
	for {
		v := s.View()
		svc := v.Services[r.Service.Name]
		if svc == nil {
			return nil, notRun(http.StatusNotFound, ReasonNoSuchService, "look at the services of the configuration", "service %q has gone", r.Service.Name)
		}
		r.Service = svc
		resp, p := s.tryLocally(ctx, r, direct)
		if p == nil || p.Outcome != OutcomeNotRun || (p.Reason != ReasonNotOwner && p.Reason != ReasonDataCentreUnreachable) {
			return resp, p
		}
		if s.now().Sub(start) > maxOwnerWait || !sleep(ctx, ownerRetryDelay) {
			return nil, p
		}
	}
}

func (s *Server) tryLocally(ctx context.Context, r *request, direct bool) (*response, *Problem) {
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

// sleep waits for d. It returns false when the context ends first.
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
