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

// execute runs the request on a target of this data centre. It is called only on the entry that owns the service.
func (s *Server) execute(ctx context.Context, r *request) (*response, *Problem) {
	if r.NoWait && !s.hasFreeSlot(r) {
		return nil, notRun(http.StatusServiceUnavailable, ReasonBusy, "come back later", "no slot of %s is free in %s", r.Service.Name, s.DataCentre)
	}
	if r.Repeatable {
		return s.dispatchWithRetries(ctx, r)
	}
	s.reportStep(StepClaim, false)
	c, p := s.acquireClaim(ctx, r)
	s.reportStep(StepClaim, true)
	if p != nil {
		return nil, p
	}
	// A claimed request continues when the caller disconnects, so that its completion is recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	resp, p := s.dispatchWithRetries(ctx, r)
	if p != nil {
		cancel()
		if p.Outcome == OutcomeNotRun {
			s.Registry.Release(c)
		}
		return nil, p
	}
	finish := resp.Finish
	resp.Finish = func(complete bool) {
		finish(complete)
		cancel()
		if complete {
			s.reportStep(StepCompletion, false)
			s.Registry.Complete(c, resp.Status)
			s.reportStep(StepCompletion, true)
		}
	}
	return resp, nil
}

// hasFreeSlot reports whether the request would get a slot without waiting. When it would not, it records the gate's shortage
// for the routing of later requests.
func (s *Server) hasFreeSlot(r *request) bool {
	g := s.gate(r.Service.Name)
	if g.HasFreeSlot(s.slotRequest(r, nil)) {
		return true
	}
	s.freeSlots.report(r.Service.Name, s.DataCentre, g.Spare(), s.now())
	return false
}

// acquireClaim claims the request's key for this entry. The request must not be dispatched when a Problem is returned.
func (s *Server) acquireClaim(ctx context.Context, r *request) (claim.Claim, *Problem) {
	c := s.newClaim(r, fmt.Sprintf("%s.%d", s.Boot, s.attempts.Add(1)))
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	v, err := s.Registry.Claim(ctx, c)
	if err != nil {
		p := notRun(http.StatusServiceUnavailable, ReasonNotClaimed, "send it again with the same key and the same not-after", "the key could not be claimed: %v", err)
		p.RetryAfter = time.Second
		if !r.NotAfter.After(s.now()) {
			return c, expiredProblem(r)
		}
		return c, p
	}
	if v.Kind == claim.Won {
		return c, nil
	}
	return c, s.verdictProblem(r, v)
}

// verdictProblem returns the problem for a copy of a request that does not run because of the state of its key.
func (s *Server) verdictProblem(r *request, v claim.Verdict) *Problem {
	switch v.Kind {
	case claim.Open, claim.Won:
		p := unknown(http.StatusConflict, ReasonKeyInProgress, "ask again with the same key and the same not-after; it is not run a second time",
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
	return expiredProblem(r)
}

// earlierProblem returns the problem for a request of which the claims log holds an earlier copy, or nil when it holds none.
func (s *Server) earlierProblem(r *request) *Problem {
	if r.Repeatable {
		return nil
	}
	v, ok := s.Registry.Lookup(s.newClaim(r, ""))
	if !ok {
		return nil
	}
	return s.verdictProblem(r, v)
}

func (s *Server) newClaim(r *request, token string) claim.Claim {
	return claim.Claim{Key: r.Team + "/" + r.Key, Digest: r.digest(), NotAfter: r.NotAfter.UnixMilli(), Token: token}
}

// expiredProblem returns the problem for a request whose not-after has passed and whose key is not known. The outcome is
// unknown, because expired keys are removed from the claims log and an earlier copy may have run.
func expiredProblem(r *request) *Problem {
	return unknown(http.StatusGone, ReasonNotAfterPassed, "look at the service's own records before you send it as a new request with a new key",
		"not-after %s has passed; this copy did not run, and an earlier one is no longer remembered", r.NotAfter.UTC().Format(time.RFC3339))
}

// dispatchWithRetries dispatches the request to one target after another until one responds. It stops early when a request
// that is not repeatable may have run, at the deadline, and when the retry budget is exhausted.
func (s *Server) dispatchWithRetries(ctx context.Context, r *request) (*response, *Problem) {
	g := s.gate(r.Service.Name)
	g.retries.Deposit()
	mayHaveRun := false
	var avoid []string
	for {
		s.reportStep(StepSlot, false)
		lease, err := g.Acquire(ctx, s.slotRequest(r, avoid))
		s.reportStep(StepSlot, true)
		if err != nil {
			return nil, s.slotProblem(r, err, mayHaveRun)
		}
		resp, p := s.dispatch(ctx, r, lease)
		if p == nil {
			if resp.Status < http.StatusInternalServerError || !r.Repeatable || !g.retries.TryWithdraw() {
				return resp, nil
			}
			resp.Finish(false)
			mayHaveRun = true
		} else {
			mayHaveRun = mayHaveRun || p.Outcome == OutcomeUnknown
			if (mayHaveRun && !r.Repeatable) || ctx.Err() != nil || !g.retries.TryWithdraw() {
				return nil, withEarlierAttempt(p, mayHaveRun)
			}
		}
		avoid = append(avoid, lease.Target.Instance)
		if len(avoid) >= len(r.Service.Targets) {
			avoid = nil
		}
	}
}

func (s *Server) slotRequest(r *request, avoid []string) route.Request {
	return route.Request{Team: r.Team, Share: r.Share, Urgent: r.Urgent, Deadline: r.Deadline, Avoid: avoid}
}

// withEarlierAttempt changes the outcome from not-run to unknown when an earlier attempt may have run.
func withEarlierAttempt(p *Problem, mayHaveRun bool) *Problem {
	if mayHaveRun && p.Outcome == OutcomeNotRun {
		q := *p
		q.Outcome = OutcomeUnknown
		q.Detail += "; an earlier attempt may have run"
		return &q
	}
	return p
}

// slotProblem returns the problem for a request that the gate gave no slot.
func (s *Server) slotProblem(r *request, err error, mayHaveRun bool) *Problem {
	var refused *route.RefusedError
	if !errors.As(err, &refused) {
		return withEarlierAttempt(notRun(http.StatusServiceUnavailable, ReasonNoTarget, "report this as a bug", "%v", err), mayHaveRun)
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
		p.Reason, p.Status = ReasonDeadline, statusClientClosed
	}
	return withEarlierAttempt(p, mayHaveRun)
}

// statusClientClosed is the status of a request whose caller has disconnected. It occurs only in logs and between entries.
const statusClientClosed = 499

// dispatch sends the request to the lease's target once. The lease ends when the response does.
func (s *Server) dispatch(ctx context.Context, r *request, lease *route.Lease) (*response, *Problem) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	s.reportStep(StepDispatch, false)
	if !r.Repeatable && !r.NotAfter.After(s.now()) {
		cancel()
		lease.Done(route.ResultNeutral)
		return nil, notRun(http.StatusGone, ReasonNotAfterPassed, "send it as a new request with a new key", "not-after passed while it waited")
	}
	raw, err := s.Targets.send(ctx, lease.Target, r)
	s.reportStep(StepDispatch, true)
	if err != nil {
		cancel()
		return nil, s.sendProblem(ctx, r, lease, err)
	}
	if raw.Header.Get(HeaderNotRun) != "" && raw.StatusCode == http.StatusServiceUnavailable {
		_ = raw.Body.Close() // the body is not used
		cancel()
		lease.Done(route.ResultRefused)
		p := notRun(http.StatusServiceUnavailable, ReasonTargetRefused, "come back later", "target %s refused the request", lease.Target.Instance)
		p.RetryAfter = time.Second
		return nil, p
	}
	resp, err := readResponse(raw)
	if err != nil {
		_ = raw.Body.Close() // the read has failed already
		cancel()
		lease.Done(unansweredResult(ctx, false))
		return nil, s.truncatedProblem(r, lease, err)
	}
	resp.Finish = func(complete bool) {
		_ = raw.Body.Close() // http.Transport closes the connection when the body was not read to its end
		lease.Done(answeredResult(resp.Status, complete))
		cancel()
	}
	return resp, nil
}

// sendProblem ends the lease and returns the problem for a request that got no response.
func (s *Server) sendProblem(ctx context.Context, r *request, lease *route.Lease, err error) *Problem {
	if errors.Is(err, errNotWritten) {
		lease.Done(unansweredResult(ctx, false))
		p := notRun(http.StatusBadGateway, ReasonTargetFailed, "send it again", "target %s could not be reached: %v", lease.Target.Instance, err)
		p.RetryAfter = time.Second
		return p
	}
	lease.Done(unansweredResult(ctx, false))
	return s.truncatedProblem(r, lease, err)
}

// unansweredResult returns the result to count for the target of a request without a response. It is neutral when the caller
// disconnected, which says nothing about the target.
func unansweredResult(ctx context.Context, ok bool) route.Result {
	switch {
	case ok:
		return route.ResultOK
	case errors.Is(ctx.Err(), context.Canceled):
		return route.ResultNeutral
	}
	return route.ResultFailed
}

// answeredResult returns the result to count for the target of a request with a response.
func answeredResult(status int, complete bool) route.Result {
	switch {
	case status >= http.StatusInternalServerError:
		return route.ResultFailed
	case !complete:
		return route.ResultNeutral
	}
	return route.ResultOK
}

// truncatedProblem emits an event and returns the problem for a request that was written to its target and got no complete
// response.
func (s *Server) truncatedProblem(r *request, lease *route.Lease, err error) *Problem {
	s.Events.Emit(event.RequestUnknown, event.Subject{Request: r.ID, Instance: lease.Target.Instance}, err.Error())
	remedy := "send it again; it is repeatable"
	if !r.Repeatable {
		remedy = "ask again with the same key; it is not run a second time"
	}
	return unknown(http.StatusBadGateway, ReasonTargetFailed, remedy, "target %s did not give a whole answer: %v", lease.Target.Instance, err)
}
