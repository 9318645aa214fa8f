// SPDX-License-Identifier: MIT

package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rackstep.dev/claim"
	"rackstep.dev/event"
	"rackstep.dev/route"
)

// execute runs the request on a target of this data centre; this entry is the service's owner.
func (s *Server) execute(ctx context.Context, r *request) (*answer, *Problem) {
	if r.NoWait && !s.free(r) {
		return nil, notRun(http.StatusServiceUnavailable, ReasonBusy, "come back later", "no slot of %s is free in %s", r.Service.Name, s.DataCentre)
	}
	if r.Repeatable {
		return s.attempt(ctx, r)
	}
	s.probe(StepClaim, false)
	c, p := s.claim(ctx, r)
	s.probe(StepClaim, true)
	if p != nil {
		return nil, p
	}
	// What was claimed goes on when the caller hangs up, so that its completion becomes known.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	a, p := s.attempt(ctx, r)
	if p != nil {
		cancel()
		if p.Outcome == OutcomeNotRun {
			s.Book.Release(c)
		}
		return nil, p
	}
	end := a.End
	a.End = func(whole bool) {
		end(whole)
		cancel()
		if whole {
			s.probe(StepCompletion, false)
			s.Book.Complete(c, a.Status)
			s.probe(StepCompletion, true)
		}
	}
	return a, nil
}

// free says whether the request would get a slot at once, and remembers how much is missing when not.
func (s *Server) free(r *request) bool {
	g := s.gateOf(r.Service.Name)
	if g.HasFreeSlot(s.ask(r, nil)) {
		return true
	}
	s.spares.tell(r.Service.Name, s.DataCentre, g.Spare(), s.now())
	return false
}

// claim makes the request's key this entry's; after a Problem it must not be dispatched.
func (s *Server) claim(ctx context.Context, r *request) (claim.Claim, *Problem) {
	c := s.claimOf(r, fmt.Sprintf("%s.%d", s.Boot, s.attempts.Add(1)))
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	v, err := s.Book.Claim(ctx, c)
	if err != nil {
		p := notRun(http.StatusServiceUnavailable, ReasonNotClaimed, "send it again with the same key and the same not-after", "the key could not be claimed: %v", err)
		p.RetryAfter = time.Second
		if !r.NotAfter.After(s.now()) {
			return c, expired(r)
		}
		return c, p
	}
	if v.Kind == claim.Won {
		return c, nil
	}
	return c, s.judged(r, v)
}

// judged says what is known of the request's key when this copy does not run.
func (s *Server) judged(r *request, v claim.Verdict) *Problem {
	switch v.Kind {
	case claim.Open, claim.Won:
		p := unknown(http.StatusConflict, ReasonInProgress, "ask again with the same key and the same not-after; it is not run a second time",
			"another copy of the request with the key %q was claimed and its end is not known", r.Key)
		p.RetryAfter = time.Second
		return p
	case claim.Complete:
		p := unknown(http.StatusConflict, ReasonKeyCompleted, "nothing is to be done; the first answer went to the first copy",
			"the request with the key %q ran and was answered with status %d", r.Key, v.Status)
		p.FirstStatus = v.Status
		return p
	case claim.Conflict:
		return notRun(http.StatusUnprocessableEntity, ReasonKeyTaken, "use a new key for a new request", "the key %q belongs to a different request", r.Key)
	}
	return expired(r)
}

// known says what the claims log tells of an earlier copy of the request, or returns nil.
func (s *Server) known(r *request) *Problem {
	if r.Repeatable {
		return nil
	}
	v, ok := s.Book.Lookup(s.claimOf(r, ""))
	if !ok {
		return nil
	}
	return s.judged(r, v)
}

func (s *Server) claimOf(r *request, token string) claim.Claim {
	return claim.Claim{Key: r.Team + "/" + r.Key, Digest: r.digest(), NotAfter: r.NotAfter.UnixMilli(), Token: token}
}

// expired answers a request whose time has passed and whose key is not known: an earlier copy may have run.
func expired(r *request) *Problem {
	return unknown(http.StatusGone, ReasonExpired, "look at the service's own records before you send it as a new request with a new key",
		"not-after %s has passed; this copy did not run, and an earlier one is no longer remembered", r.NotAfter.UTC().Format(time.RFC3339))
}

// attempt gives the request to targets until one has answered, it may have run, or its time or the retry budget ends.
func (s *Server) attempt(ctx context.Context, r *request) (*answer, *Problem) {
	g := s.gateOf(r.Service.Name)
	g.retries.Deposit()
	mayHaveRun := false
	var avoid []string
	for {
		s.probe(StepSlot, false)
		lease, err := g.Acquire(ctx, s.ask(r, avoid))
		s.probe(StepSlot, true)
		if err != nil {
			return nil, s.refused(r, err, mayHaveRun)
		}
		a, p := s.dispatch(ctx, r, lease)
		if p == nil {
			if a.Status < http.StatusInternalServerError || !r.Repeatable || !g.retries.TryWithdraw() {
				return a, nil
			}
			a.End(false)
			mayHaveRun = true
		} else {
			mayHaveRun = mayHaveRun || p.Outcome == OutcomeUnknown
			if (mayHaveRun && !r.Repeatable) || ctx.Err() != nil || !g.retries.TryWithdraw() {
				return nil, settle(p, mayHaveRun)
			}
		}
		avoid = append(avoid, lease.Target.Instance)
		if len(avoid) >= len(r.Service.Targets) {
			avoid = nil
		}
	}
}

func (s *Server) ask(r *request, avoid []string) route.Request {
	return route.Request{Team: r.Team, Share: r.Share, Urgent: r.Urgent, Deadline: r.Deadline, Avoid: avoid}
}

// settle makes the problem's outcome unknown when an earlier attempt may have run.
func settle(p *Problem, mayHaveRun bool) *Problem {
	if mayHaveRun && p.Outcome == OutcomeNotRun {
		q := *p
		q.Outcome = OutcomeUnknown
		q.Detail += "; an earlier attempt may have run"
		return &q
	}
	return p
}

func (s *Server) refused(r *request, err error, mayHaveRun bool) *Problem {
	var refused *route.RefusedError
	if !errors.As(err, &refused) {
		return settle(notRun(http.StatusServiceUnavailable, ReasonNoTarget, "report this as a bug", "%v", err), mayHaveRun)
	}
	p := notRun(http.StatusServiceUnavailable, ReasonNoTarget, "come back later", "service %s: %v", r.Service.Name, refused)
	p.RetryAfter = max(refused.RetryAfter, time.Second)
	switch refused.Kind {
	case route.KindFull:
		p.Reason, p.Status, p.Remedy = ReasonQueueFull, http.StatusTooManyRequests, "come back after the time in Retry-After"
	case route.KindDeadline:
		p.Reason, p.Remedy = ReasonDeadline, "come back after the time in Retry-After or allow more time"
	case route.KindMoved:
		p.Reason = ReasonNotOwner
	case route.KindCancelled:
		p.Reason, p.Status = ReasonDeadline, statusClientGone
	}
	return settle(p, mayHaveRun)
}

// statusClientGone is written to logs and relays only; the caller has gone.
const statusClientGone = 499

// dispatch sends the request once; the lease ends with the answer.
func (s *Server) dispatch(ctx context.Context, r *request, lease *route.Lease) (*answer, *Problem) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s.probe(StepDispatch, false)
	if !r.Repeatable && !r.NotAfter.After(s.now()) {
		cancel()
		lease.Done(route.ResultNeutral)
		return nil, notRun(http.StatusGone, ReasonExpired, "send it as a new request with a new key", "not-after passed while it waited")
	}
	resp, err := s.Targets.send(ctx, lease.Target, r)
	s.probe(StepDispatch, true)
	if err != nil {
		cancel()
		return nil, s.sendFailed(ctx, r, lease, err)
	}
	if resp.Header.Get(HeaderNotRun) != "" && resp.StatusCode == http.StatusServiceUnavailable {
		_ = resp.Body.Close() // nothing in it is needed
		cancel()
		lease.Done(route.ResultRefused)
		p := notRun(http.StatusServiceUnavailable, ReasonRefused, "come back later", "target %s refused the request", lease.Target.Instance)
		p.RetryAfter = time.Second
		return nil, p
	}
	a, err := readAnswer(resp)
	if err != nil {
		_ = resp.Body.Close() // it is broken
		cancel()
		lease.Done(result(ctx, false))
		return nil, s.lost(r, lease, err)
	}
	a.End = func(whole bool) {
		_ = resp.Body.Close() // the transport closes the connection when the body was not read whole
		lease.Done(resultOf(a.Status, whole))
		cancel()
	}
	return a, nil
}

func (s *Server) sendFailed(ctx context.Context, r *request, lease *route.Lease, err error) *Problem {
	if errors.Is(err, errNotWritten) {
		lease.Done(result(ctx, false))
		p := notRun(http.StatusBadGateway, ReasonTarget, "send it again", "target %s could not be reached: %v", lease.Target.Instance, err)
		p.RetryAfter = time.Second
		return p
	}
	lease.Done(result(ctx, false))
	return s.lost(r, lease, err)
}

// result says what an unanswered request tells of its target: nothing, when the caller went away.
func result(ctx context.Context, ok bool) route.Result {
	switch {
	case ok:
		return route.ResultOK
	case errors.Is(ctx.Err(), context.Canceled):
		return route.ResultNeutral
	}
	return route.ResultFailed
}

func resultOf(status int, whole bool) route.Result {
	switch {
	case status >= http.StatusInternalServerError:
		return route.ResultFailed
	case !whole:
		return route.ResultNeutral
	}
	return route.ResultOK
}

func (s *Server) lost(r *request, lease *route.Lease, err error) *Problem {
	s.Events.Emit(event.RequestUnknown, event.Subject{Request: r.ID, Instance: lease.Target.Instance}, err.Error())
	remedy := "send it again; it is repeatable"
	if !r.Repeatable {
		remedy = "ask again with the same key; it is not run a second time"
	}
	return unknown(http.StatusBadGateway, ReasonTarget, remedy, "target %s did not give a whole answer: %v", lease.Target.Instance, err)
}
