// SPDX-License-Identifier: MIT

package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"

	restful "github.com/emicklei/go-restful/v3"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/org"
	"rackstep.dev/serve"
)

// Server answers operators.
type Server struct {
	// BootstrapTokenHash is the hash of the token that may publish the first configuration; none when empty.
	BootstrapTokenHash string
	// Metrics answers the scraper; none when nil.
	Metrics http.Handler
	// Publish writes a record and waits for the fold's answer.
	Publish func(ctx context.Context, by string, r fleet.Record) (fleet.Result, error)
	// ReadTables runs f with the tables, which are nil before the entry has any; f must not keep them.
	ReadTables func(ctx context.Context, f func(t *fleet.Tables)) error
	// Status returns what the entry knows.
	Status func(ctx context.Context) (Status, error)
	// MakePlan makes a plan from the tables.
	MakePlan func(t *fleet.Tables, id string, intent fleet.Intent) (fleet.Plan, error)
	// TimeLine collects the events of all entries.
	TimeLine func(ctx context.Context, about event.Subject) ([]event.Event, []string)

	once      sync.Once
	container *restful.Container
}

// maxConfiguration bounds a request's body in bytes.
const maxConfiguration = 8 << 20

// ServeHTTP answers operators.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() { s.container = s.routes() })
	s.container.ServeHTTP(w, r)
}

func (s *Server) routes() *restful.Container {
	c := restful.NewContainer()
	c.Router(restful.CurlyRouter{})
	c.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, w *restful.Response) {
		problem(w, e.Code, "bad-request", e.Message, "look at docs/PROTOCOLS.md")
	})
	ws := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	ws.Route(ws.GET("/configuration").To(s.known(s.getConfiguration)))
	ws.Route(ws.PUT("/configuration").To(s.applyConfiguration))
	ws.Route(ws.GET("/status").To(s.known(s.getStatus)))
	ws.Route(ws.GET("/instances").To(s.known(s.getInstances)))
	ws.Route(ws.GET("/jobs").To(s.known(s.getJobs)))
	ws.Route(ws.GET("/results/{id}").To(s.known(s.getResult)))
	ws.Route(ws.GET("/timeline").To(s.known(s.getTimeLine)))
	ws.Route(ws.POST("/plans").To(s.known(s.postPlan)))
	ws.Route(ws.GET("/plans/{plan}").To(s.known(s.getPlan)))
	ws.Route(ws.POST("/plans/{plan}/{order}").To(s.known(s.orderPlan)))
	c.Add(ws)
	if s.Metrics != nil {
		c.Handle("/metrics", s.Metrics)
	}
	return c
}

// call is one request of a known operator.
type call struct {
	by string
	r  *restful.Request
	w  *restful.Response
}

func (c call) context() context.Context { return c.r.Request.Context() }

// known passes on what carries an operator's token.
func (s *Server) known(f func(call)) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		by, _, err := s.operator(r.Request)
		switch {
		case err != nil:
			failed(w, err)
		case by == "":
			unauthorized(w)
		default:
			f(call{by: by, r: r, w: w})
		}
	}
}

// operator returns the name of the request's operator, and whether the entry has a configuration yet.
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

func unauthorized(w *restful.Response) {
	problem(w, http.StatusUnauthorized, "unauthorized", "the operator's token is missing or not known", "set RACKSTEP_TOKEN or use --token-file")
}

func problem(w *restful.Response, status int, reason serve.Reason, detail, remedy string) {
	serve.WriteProblem(w.ResponseWriter, &serve.Problem{Status: status, Reason: reason, Detail: detail, Remedy: remedy})
}

func failed(w *restful.Response, err error) {
	p := serve.JobProblem(err)
	serve.WriteProblem(w.ResponseWriter, p)
}

func answer(w *restful.Response, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.ResponseWriter.WriteHeader(status)
	_ = json.NewEncoder(w.ResponseWriter).Encode(body) // an operator that has gone asks again
}

// read decodes the request's body; after false the answer was written.
func read(r *restful.Request, w *restful.Response, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w.ResponseWriter, r.Request.Body, maxConfiguration))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		problem(w, http.StatusBadRequest, "bad-request", "the body can't be read: "+err.Error(), "look at docs/PROTOCOLS.md")
		return false
	}
	return true
}

func (s *Server) getConfiguration(c call) {
	var current CurrentConfiguration
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t != nil {
			current = CurrentConfiguration{Version: t.Version, Configuration: t.Configuration}
		}
	})
	if err != nil {
		failed(c.w, err)
		return
	}
	answer(c.w, http.StatusOK, current)
}

func (s *Server) applyConfiguration(r *restful.Request, w *restful.Response) {
	by, configured, err := s.operator(r.Request)
	if err != nil {
		failed(w, err)
		return
	}
	if !configured && s.BootstrapTokenHash != "" && serve.EqualTokenHashes(s.BootstrapTokenHash, serve.TokenHash(org.KeyOf(r.Request.Header.Get("Authorization")))) {
		by = "bootstrap"
	}
	if by == "" {
		unauthorized(w)
		return
	}
	var a ApplyRequest
	if !read(r, w, &a) {
		return
	}
	if a.ID == "" {
		a.ID = rand.Text()
	}
	s.publish(call{by, r, w}, fleet.Record{ID: a.ID, Configure: &fleet.Configure{Base: a.Base, Configuration: a.Configuration}})
}

// publish writes the record and answers with the fold's answer.
func (s *Server) publish(c call, r fleet.Record) {
	ctx, cancel := context.WithTimeout(c.context(), callTime)
	defer cancel()
	res, err := s.Publish(ctx, c.by, r)
	if err != nil {
		c.w.Header().Set(serve.HeaderRequest, r.ID)
		failed(c.w, err)
		return
	}
	answer(c.w, http.StatusOK, Accepted{ID: r.ID, Version: res.Version, Offset: res.Offset})
}

func (s *Server) getStatus(c call) {
	st, err := s.Status(c.context())
	if err != nil {
		failed(c.w, err)
		return
	}
	answer(c.w, http.StatusOK, st)
}

func (s *Server) getInstances(c call) {
	s.rows(c, func(t *fleet.Tables) any {
		return struct {
			Instances []fleet.Instance `json:"instances"`
		}{t.Instances.Rows()}
	})
}

func (s *Server) getJobs(c call) {
	s.rows(c, func(t *fleet.Tables) any {
		return struct {
			Jobs []fleet.Job `json:"jobs"`
		}{t.Jobs.Rows()}
	})
}

func (s *Server) rows(c call, of func(*fleet.Tables) any) {
	var body any
	err := s.ReadTables(c.context(), func(t *fleet.Tables) {
		if t == nil {
			t = fleet.New()
		}
		body = of(t)
	})
	if err != nil {
		failed(c.w, err)
		return
	}
	answer(c.w, http.StatusOK, body)
}

func (s *Server) getResult(c call) {
	id := c.r.PathParameter("id")
	s.rows(c, func(t *fleet.Tables) any {
		known := RecordResult{ID: id}
		if res := t.Result(id); res != nil {
			known.Found, known.Version, known.Refusal = true, res.Version, res.Refusal
		}
		return known
	})
}

func (s *Server) getTimeLine(c call) {
	q := c.r.Request.URL.Query()
	about := event.Subject{Plan: q.Get("plan"), Instance: q.Get("instance"), Job: q.Get("job"), Request: q.Get("request")}
	events, unreached := s.TimeLine(c.context(), about)
	answer(c.w, http.StatusOK, TimeLine{Events: events, Unreached: unreached})
}

func (s *Server) postPlan(c call) {
	var intent fleet.Intent
	if !read(c.r, c.w, &intent) {
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
		failed(c.w, err)
		return
	case planErr != nil:
		problem(c.w, http.StatusBadRequest, "bad-request", planErr.Error(), "correct the intent")
		return
	}
	ctx, cancel := context.WithTimeout(c.context(), callTime)
	defer cancel()
	if _, err := s.Publish(ctx, c.by, fleet.Record{Propose: &fleet.Propose{Plan: p}}); err != nil {
		failed(c.w, err)
		return
	}
	answer(c.w, http.StatusOK, p)
}

func (s *Server) getPlan(c call) {
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
		failed(c.w, err)
	case p == nil:
		problem(c.w, http.StatusNotFound, "unknown", "the plan is not known", "list the plans with 'rackstep status'")
	default:
		answer(c.w, http.StatusOK, p)
	}
}

func (s *Server) orderPlan(c call) {
	order := fleet.Order(c.r.PathParameter("order"))
	s.publish(c, fleet.Record{ID: rand.Text(), Control: &fleet.Control{Plan: c.r.PathParameter("plan"), Order: order}})
}
