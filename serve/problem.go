// SPDX-License-Identifier: MIT

package serve

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what a caller may conclude about its request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeWhole   Outcome = "whole"   // the answer is the target's, complete
	OutcomeNotRun  Outcome = "not-run" // the request did not run
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Reason is the kind of a Problem.
type Reason string

// Reasons of a Problem.
const (
	ReasonUnauthorized Reason = "unauthorized"
	ReasonBadRequest   Reason = "bad-request"
	ReasonTooLarge     Reason = "too-large"
	ReasonNoService    Reason = "no-such-service"
	ReasonResidency    Reason = "residency"
	ReasonCutOff       Reason = "data-centre-unreachable"
	ReasonNoTarget     Reason = "no-target"
	ReasonBusy         Reason = "busy"
	ReasonQueueFull    Reason = "queue-full"
	ReasonDeadline     Reason = "deadline"
	ReasonNotReady     Reason = "not-ready"
	ReasonNotClaimed   Reason = "not-claimed"
	ReasonKeyTaken     Reason = "key-taken"
	ReasonInProgress   Reason = "key-in-progress"
	ReasonKeyCompleted    Reason = "key-completed"
	ReasonExpired      Reason = "not-after-passed"
	ReasonTarget       Reason = "target-failed"
	ReasonRelay        Reason = "relay-failed"
	ReasonNotOwner     Reason = "not-owner"
	ReasonRefused      Reason = "target-refused"
)

// Problem is an answer that does not come from a target.
type Problem struct {
	Status     int
	Outcome    Outcome
	Reason     Reason
	Detail     string
	Remedy     string
	RetryAfter time.Duration
	// FirstStatus is the HTTP status of the first answer to the same key, for ReasonRanBefore.
	FirstStatus int
}

// Error returns the outcome, the detail and the remedy.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", p.Outcome, p.Reason, p.Detail, p.Remedy)
}

// Headers of the callers' interface.
const (
	HeaderOutcome    = "Rackstep-Outcome"
	HeaderRequest    = "Rackstep-Request"
	HeaderDataCentre = "Rackstep-Data-Centre"
	HeaderPriority   = "Rackstep-Priority"
	HeaderTimeout    = "Rackstep-Timeout"
	HeaderRepeatable = "Rackstep-Repeatable"
	HeaderNotAfter   = "Rackstep-Not-After"
	HeaderTeam       = "Rackstep-Team"
	HeaderGeneration = "Rackstep-Generation"
	HeaderNotRun     = "Rackstep-Not-Run"
	HeaderKey        = "Idempotency-Key"
)

// WriteProblem answers with problem details as in RFC 9457.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	body, err := json.Marshal(struct {
		Type        string  `json:"type"`
		Title       string  `json:"title"`
		Status      int     `json:"status"`
		Detail      string  `json:"detail"`
		Outcome     Outcome `json:"outcome,omitempty"`
		Reason      Reason  `json:"reason"`
		Remedy      string  `json:"remedy"`
		FirstStatus int     `json:"first_status,omitempty"`
	}{"https://rackstep.dev/problems/" + string(p.Reason), http.StatusText(p.Status), p.Status, p.Detail, p.Outcome, p.Reason, p.Remedy, p.FirstStatus})
	if err != nil {
		http.Error(w, "problem could not be written", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Outcome != "" {
		h.Set(HeaderOutcome, string(p.Outcome))
	}
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // a caller that has gone can't be told
}

func notRun(status int, reason Reason, remedy, format string, args ...any) *Problem {
	return &Problem{Status: status, Outcome: OutcomeNotRun, Reason: reason, Remedy: remedy, Detail: fmt.Sprintf(format, args...)}
}

func unknown(status int, reason Reason, remedy, format string, args ...any) *Problem {
	return &Problem{Status: status, Outcome: OutcomeUnknown, Reason: reason, Remedy: remedy, Detail: fmt.Sprintf(format, args...)}
}
