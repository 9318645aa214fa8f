// SPDX-License-Identifier: MIT

package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"

	restful "github.com/emicklei/go-restful/v3"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/limit"
	"rackstep.dev/org"
	"rackstep.dev/serve"
)

// Server serves the operators' interface. Set the fields before use.
type Server struct {
	// BootstrapTokenHash is the hash of the token that may publish the first configuration; no token may when it is empty.
	BootstrapTokenHash string
	// Metrics serves the path /metrics; there are no metrics when it is nil.
	Metrics http.Handler
	// Publish appends a record to the log on behalf of an operator and waits for the fold's result.
	Publish func(ctx context.Context, by string, r fleet.Record) (fleet.Result, error)
	// ReadTables calls f with the tables, which are nil while the entry has none. f must not retain them.
	ReadTables func(ctx context.Context, f func(t *fleet.Tables)) error
	// Status returns the state of the site as the entry knows it.
	Status func(ctx context.Context) (Status, error)
	// MakePlan makes a plan with the given ID from the tables.
	MakePlan func(t *fleet.Tables, id string, intent fleet.Intent) (fleet.Plan, error)
	// TimeLine returns the events about a subject from all reachable entries, and the names of the entries that could not be reached.
	TimeLine func(ctx context.Context, about event.Subject) ([]event.Event, []string)

	// Guard bounds the bodies of all requests; when nil, only each one is bounded.
	Guard *limit.Guard

	once      sync.Once
	container *restful.Container
}

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 8 << 20

// ServeHTTP serves the paths under /v1 and /metrics.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() { s.container = s.routes() })
	s.container.ServeHTTP(w, r)
}

func (s *Server) routes() *restful.Container {
	c := restful.NewContainer()
	c.Router(restful.CurlyRouter{})
	c.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, w *restful.Response) {
		writeProblem(w, e.Code, "bad-request", e.Message, "look at docs/PROTOCOLS.md")
	})
	ws := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.GET("/configuration").To(s.authenticated(s.getConfiguration)))
	ws.Route(ws.PUT("/configuration").To(s.applyConfiguration))
	ws.Route(ws.GET("/status").To(s.authenticated(s.getStatus)))
	ws.Route(ws.GET("/instances").To(s.authenticated(s.getInstances)))
	ws.Route(ws.GET("/jobs").To(s.authenticated(s.getJobs)))
	ws.Route(ws.GET("/results/{id}").To(s.authenticated(s.getResult)))
	ws.Route(ws.GET("/timeline").To(s.authenticated(s.getTimeLine)))
	ws.Route(ws.POST("/plans").To(s.authenticated(s.postPlan)))
	ws.Route(ws.GET("/plans/{plan}").To(s.authenticated(s.getPlan)))
	ws.Route(ws.POST("/plans/{plan}/{order}").To(s.authenticated(s.orderPlan)))
	c.Add(ws)
	if s.Metrics != nil {
		c.Handle("/metrics", s.Metrics)
	}
	return c
}

// operatorRequest is one request of an authenticated operator.
type operatorRequest struct {
	operator string
	r        *restful.Request
	w        *restful.Response
}

func (c operatorRequest) context() context.Context { return c.r.Request.Context() }

// authenticated returns a route that calls f for requests with an operator's token and rejects all others.
func (s *Server) authenticated(f func(operatorRequest)) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		name, _, err := s.operator(r.Request)
		switch {
		case err != nil:
			writeError(w, err)
		case name == "":
			writeUnauthorized(w)
		default:
			f(operatorRequest{operator: name, r: r, w: w})
		}
	}
}

// operator returns the name of the operator whose token the request carries, "" if there is none, and whether the entry has a
// configuration.
func (s *Server) operator(r *http.Request) (name string, configured bool, err error) {
	hash := serve.TokenHash(org.KeyOf(r.Header.Get("Authorization")))
	err = s.ReadTables(r.Context(), func(t *fleet.Tables) {
		if t == nil {
			return
		}
		configured = t.Version > 0
		for _, o := range t.Configuration.Operators {
			if serve.EqualTokenHashes(o.TokenHash, hash) {
				name = o.Name
			}
		}
	})
	return name, configured, err
}

func writeUnauthorized(w *restful.Response) {
	writeProblem(w, http.StatusUnauthorized, "unauthorized", "the operator's token is missing or not known", "set RACKSTEP_TOKEN or use --token-file")
}

func writeProblem(w *restful.Response, status int, reason serve.Reason, detail, remedy string) {
	serve.WriteProblem(w.ResponseWriter, &serve.Problem{Status: status, Reason: reason, Detail: detail, Remedy: remedy})
}

func writeError(w *restful.Response, err error) {
	serve.WriteProblem(w.ResponseWriter, serve.JobProblem(err))
}

func writeJSON(w *restful.Response, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.ResponseWriter.WriteHeader(status)
	_ = json.NewEncoder(w.ResponseWriter).Encode(body) // a client that has disconnected asks again
}

// decodeBody decodes the request's body into the value at into. If it returns false, it has written an error response.
func (s *Server) decodeBody(r *restful.Request, w *restful.Response, into any) bool {
	body, err := s.Guard.ReadBody(r.Request, maxRequestBytes, nil)
	if err != nil {
		serve.WriteProblem(w.ResponseWriter, serve.BodyProblem(err, maxRequestBytes))
		return false
	}
	defer body.Release()
	err = body.Decode(r.Request.Context(), func(b []byte) error {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		return dec.Decode(into)
	})
	switch {
	case limit.IsRefusal(err):
		serve.WriteProblem(w.ResponseWriter, serve.BodyProblem(err, maxRequestBytes))
		return false
	case err != nil:
		writeProblem(w, http.StatusBadRequest, "bad-request", "the body can't be read: "+err.Error(), "look at docs/PROTOCOLS.md")
		return false
	}
	return true
}

func (s *Server) getConfiguration(c operatorRequest) {
	var current CurrentConfiguration
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t != nil {
			current = CurrentConfiguration{Version: t.Version, Configuration: t.Configuration}
		}
	})
	if err != nil {
		writeError(c.w, err)
		return
	}
	writeJSON(c.w, http.StatusOK, current)
}

func (s *Server) applyConfiguration(r *restful.Request, w *restful.Response) {
	name, configured, err := s.operator(r.Request)
	if err != nil {
		writeError(w, err)
		return
	}
	if !configured && s.BootstrapTokenHash != "" && serve.EqualTokenHashes(s.BootstrapTokenHash, serve.TokenHash(org.KeyOf(r.Request.Header.Get("Authorization")))) {
		name = "bootstrap"
	}
	if name == "" {
		writeUnauthorized(w)
		return
	}
	var a ApplyRequest
	if !s.decodeBody(r, w, &a) {
		return
	}
	if a.ID == "" {
		a.ID = rand.Text()
	}
	s.publish(operatorRequest{name, r, w}, fleet.Record{ID: a.ID, Configure: &fleet.Configure{Base: a.Base, Configuration: a.Configuration}})
}

// publish publishes the record and responds with the fold's result. An error response names the record's ID, so that the operator can
// ask for its outcome.
func (s *Server) publish(c operatorRequest, r fleet.Record) {
	ctx, cancel := context.WithTimeout(c.context(), publishTimeout)
	defer cancel()
	res, err := s.Publish(ctx, c.operator, r)
	if err != nil {
		c.w.Header().Set(serve.HeaderRequest, r.ID)
		writeError(c.w, err)
		return
	}
	writeJSON(c.w, http.StatusOK, Accepted{ID: r.ID, Version: res.Version, Offset: res.Offset})
}

func (s *Server) getStatus(c operatorRequest) {
	st, err := s.Status(c.context())
	if err != nil {
		writeError(c.w, err)
		return
	}
	writeJSON(c.w, http.StatusOK, st)
}

func (s *Server) getInstances(c operatorRequest) {
	s.writeFromTables(c, func(t *fleet.Tables) any {
		return struct {
			Instances []fleet.Instance `json:"instances"`
		}{t.Instances.Rows()}
	})
}

func (s *Server) getJobs(c operatorRequest) {
	s.writeFromTables(c, func(t *fleet.Tables) any {
		return struct {
			Jobs []fleet.Job `json:"jobs"`
		}{t.Jobs.Rows()}
	})
}

// writeFromTables responds with the value that body returns for the tables, which are empty while the entry has none.
func (s *Server) writeFromTables(c operatorRequest, body func(*fleet.Tables) any) {
	var value any
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t == nil {
			t = fleet.New()
		}
		value = body(t)
	})
	if err != nil {
		writeError(c.w, err)
		return
	}
	writeJSON(c.w, http.StatusOK, value)
}

func (s *Server) getResult(c operatorRequest) {
	id := c.r.PathParameter("id")
	s.writeFromTables(c, func(t *fleet.Tables) any {
		result := RecordResult{ID: id}
		if res := t.Result(id); res != nil {
			result.Found, result.Version, result.Refusal = true, res.Version, res.Refusal
		}
		return result
	})
}

func (s *Server) getTimeLine(c operatorRequest) {
	q := c.r.Request.URL.Query()
	about := event.Subject{Plan: q.Get("plan"), Instance: q.Get("instance"), Job: q.Get("job"), Request: q.Get("request")}
	events, unreached := s.TimeLine(c.context(), about)
	writeJSON(c.w, http.StatusOK, TimeLine{Events: events, Unreached: unreached})
}

func (s *Server) postPlan(c operatorRequest) {
	var intent fleet.Intent
	if !s.decodeBody(c.r, c.w, &intent) {
		return
	}
	var p fleet.Plan
	var planErr error
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t == nil {
			t = fleet.New()
		}
		p, planErr = s.MakePlan(t, "plan-"+rand.Text()[:8], intent)
	})
	switch {
	case err != nil:
		writeError(c.w, err)
		return
	case planErr != nil:
		writeProblem(c.w, http.StatusBadRequest, "bad-request", planErr.Error(), "correct the intent")
		return
	}
	ctx, cancel := context.WithTimeout(c.context(), publishTimeout)
	defer cancel()
	if _, err := s.Publish(ctx, c.operator, fleet.Record{Propose: &fleet.Propose{Plan: p}}); err != nil {
		writeError(c.w, err)
		return
	}
	writeJSON(c.w, http.StatusOK, p)
}

func (s *Server) getPlan(c operatorRequest) {
	var p *fleet.Plan
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t == nil {
			return
		}
		if row := t.Plans.Get(c.r.PathParameter("plan")); row != nil {
			p = row.Clone()
		}
	})
	switch {
	case err != nil:
		writeError(c.w, err)
	case p == nil:
		writeProblem(c.w, http.StatusNotFound, "unknown", "the plan is not known", "list the plans with 'rackstep status'")
	default:
		writeJSON(c.w, http.StatusOK, p)
	}
}

func (s *Server) orderPlan(c operatorRequest) {
	order := fleet.Order(c.r.PathParameter("order"))
	s.publish(c, fleet.Record{ID: rand.Text(), Control: &fleet.Control{Plan: c.r.PathParameter("plan"), Order: order}})
}
