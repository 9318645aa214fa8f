// SPDX-License-Identifier: MIT

package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	restful "github.com/emicklei/go-restful/v3"

	"rackstep.dev/fleet"
	"rackstep.dev/internal/limit"
)

// ErrUnknownResult means that a record may or may not have been applied to the tables. Repeating the call with the same ID is
// safe.
var ErrUnknownResult = errors.New("the log gave no answer in time; ask again with the same id")

// Jobs connects the jobs interface to the control goroutine. Its functions return a *fleet.Refusal, ErrUnknownResult, or
// another error when nothing was written.
type Jobs struct {
	// Submit adds a job for the team. Submitting the same job again has no effect.
	Submit func(ctx context.Context, team string, spec fleet.JobSpec) error
	// Cancel cancels the team's job.
	Cancel func(ctx context.Context, team, id string) error
	// Get returns the team's job, and false when it is not known.
	Get func(team, id string) (fleet.Job, bool)
}

const maxJobBody = 64 << 10

func (s *Server) jobRoutes(ws *restful.WebService) {
	ws.Route(ws.POST("/jobs").To(s.submitJob))
	ws.Route(ws.GET("/jobs/{job}").To(s.getJob))
	ws.Route(ws.DELETE("/jobs/{job}").To(s.cancelJob))
}

// jobTeam returns the name of the caller's team. When it returns false, it has written an error response.
func (s *Server) jobTeam(r *restful.Request, w *restful.Response) (string, bool) {
	v := s.View()
	if v == nil {
		WriteProblem(w.ResponseWriter, notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "this entry has no tables yet"))
		return "", false
	}
	team := v.authenticate(r.Request)
	if team == nil {
		WriteProblem(w.ResponseWriter, unauthorized())
		return "", false
	}
	return team.Name, true
}

func (s *Server) submitJob(r *restful.Request, w *restful.Response) {
	team, ok := s.jobTeam(r, w)
	if !ok {
		return
	}
	var spec fleet.JobSpec
	body, err := s.Guard.ReadBody(r.Request, maxJobBody, nil)
	if err != nil {
		WriteProblem(w.ResponseWriter, BodyProblem(err, maxJobBody))
		return
	}
	defer body.Release()
	err = body.Decode(r.Request.Context(), func(b []byte) error {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		return dec.Decode(&spec)
	})
	switch {
	case limit.IsRefusal(err):
		WriteProblem(w.ResponseWriter, BodyProblem(err, maxJobBody))
		return
	case err != nil:
		WriteProblem(w.ResponseWriter, notRun(http.StatusBadRequest, ReasonBadRequest, "look at docs/PROTOCOLS.md", "the job can't be read: %v", err))
		return
	}
	if err := s.Jobs.Submit(r.Request.Context(), team, spec); err != nil {
		WriteProblem(w.ResponseWriter, JobProblem(err))
		return
	}
	s.writeJob(w, http.StatusAccepted, team, spec.ID)
}

func (s *Server) getJob(r *restful.Request, w *restful.Response) {
	if team, ok := s.jobTeam(r, w); ok {
		s.writeJob(w, http.StatusOK, team, r.PathParameter("job"))
	}
}

func (s *Server) cancelJob(r *restful.Request, w *restful.Response) {
	team, ok := s.jobTeam(r, w)
	if !ok {
		return
	}
	if err := s.Jobs.Cancel(r.Request.Context(), team, r.PathParameter("job")); err != nil {
		WriteProblem(w.ResponseWriter, JobProblem(err))
		return
	}
	s.writeJob(w, http.StatusAccepted, team, r.PathParameter("job"))
}

func (s *Server) writeJob(w *restful.Response, status int, team, id string) {
	j, ok := s.Jobs.Get(team, id)
	if !ok {
		WriteProblem(w.ResponseWriter, notRun(http.StatusNotFound, ReasonBadRequest, "submit the job first; ended jobs are forgotten after a while", "job %q is not known", id))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.ResponseWriter.WriteHeader(status)
	_ = json.NewEncoder(w.ResponseWriter).Encode(struct { // an error means that the caller has disconnected
		ID           string         `json:"id"`
		State        fleet.JobState `json:"state"`
		Attempt      int            `json:"attempt"`
		Instance     string         `json:"instance,omitempty"`
		Moves        int            `json:"moves"`
		Checkpointed bool           `json:"checkpointed"`
		Note         string         `json:"note,omitempty"`
	}{j.ID, j.State, j.Attempt, j.Instance, j.Moves, j.Checkpointed, j.Note})
}

// JobProblem returns the problem for an error of Jobs or of a record that an operator submitted.
func JobProblem(err error) *Problem {
	var refusal *fleet.Refusal
	switch {
	case errors.As(err, &refusal):
		return notRun(http.StatusConflict, Reason(refusal.Reason), refusal.Remedy, "%s", refusal.Detail)
	case errors.Is(err, ErrUnknownResult):
		return unknown(http.StatusGatewayTimeout, ReasonNotClaimed, "ask again with the same id", "%v", err)
	}
	detail, _, _ := strings.Cut(err.Error(), "\n")
	return notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "%s", detail)
}
