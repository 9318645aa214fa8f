// SPDX-License-Identifier: MIT

package serve

import (
	"net/http"
	"strings"
	"sync"

	restful "github.com/emicklei/go-restful/v3"
)

// handlers is built on the first request.
type handlers struct {
	once      sync.Once
	container *restful.Container
}

// methods are what callers may use on a service.
var methods = [...]string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}

// ServeHTTP answers callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.once.Do(func() { s.handlers.container = s.routes() })
	// Not the container's ServeHTTP, whose mux answers a path with "//" or ".." by a redirect.
	s.handlers.container.Dispatch(w, r)
}

func (s *Server) routes() *restful.Container {
	c := restful.NewContainer()
	c.Router(restful.CurlyRouter{})
	c.DoNotRecover(true) // net/http recovers, and http.ErrAbortHandler must pass
	c.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, w *restful.Response) {
		WriteProblem(w, notRun(e.Code, ReasonBadRequest, "look at docs/PROTOCOLS.md", "%s", e.Message))
	})
	ws := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	for _, m := range methods {
		ws.Route(ws.Method(m).Path("/services/{service}").To(s.serveService))
		ws.Route(ws.Method(m).Path("/services/{service}/{path:*}").To(s.serveService))
	}
	if s.Jobs.Submit != nil {
		s.jobRoutes(ws)
	}
	c.Add(ws)
	health := new(restful.WebService).Path("/health").Produces("*/*")
	health.Route(health.GET("/ready").To(s.serveReady))
	c.Add(health)
	return c
}

func (s *Server) serveReady(_ *restful.Request, w *restful.Response) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveService(rr *restful.Request, rw *restful.Response) {
	s.active.Add(1)
	defer s.active.Add(-1)
	w, r := rw.ResponseWriter, rr.Request
	since := s.now()
	v := s.View()
	if v == nil {
		WriteProblem(w, notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "this entry has no tables yet"))
		return
	}
	team := v.team(r)
	if team == nil {
		WriteProblem(w, unauthorized())
		return
	}
	path, ok := targetPath(r)
	if !ok {
		WriteProblem(w, notRun(http.StatusNotFound, ReasonBadRequest, "begin the path with "+servicesPath+"SERVICE/", "path %q names no service", r.URL.Path))
		return
	}
	s.probe(StepAdmission, false)
	req, p := s.admit(v, team, rr.PathParameter("service"), path, r)
	s.probe(StepAdmission, true)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	a, p := s.runOnce(r.Context(), v, req)
	if p != nil {
		w.Header().Set(HeaderRequest, req.ID)
		s.count(req, p.Outcome, since)
		WriteProblem(w, p)
		return
	}
	s.probe(StepAnswer, false)
	whole := a.copyTo(w, req.ID)
	s.probe(StepAnswer, true)
	if !whole {
		s.count(req, OutcomeUnknown, since)
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	}
	s.count(req, OutcomeWhole, since)
}

func unauthorized() *Problem {
	return notRun(http.StatusUnauthorized, ReasonUnauthorized, "send the team's token as 'Authorization: Bearer TOKEN'", "the token is missing or not known")
}

// servicesPath comes before a service's name in a caller's path.
const servicesPath = "/v1/services/"

// targetPath returns the path and query that the target gets, with their escapes as the caller wrote them, and false when
// the caller's path is not of the form that names a service.
func targetPath(r *http.Request) (string, bool) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPath)
	if !ok {
		return "", false
	}
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, true
}
