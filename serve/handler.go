// SPDX-License-Identifier: MIT

package serve

import (
	"net/http"
	"strings"
	"sync"

	restful "github.com/emicklei/go-restful/v3"
)

// handlers holds the HTTP routes, which are built on the first request.
type handlers struct {
	once      sync.Once
	container *restful.Container
}

// serviceMethods are the HTTP methods that are forwarded to services.
var serviceMethods = [...]string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}

// ServeHTTP serves callers' requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handlers.once.Do(func() { s.handlers.container = s.routes() })
	// Dispatch bypasses the container's ServeMux, which redirects paths with "//" or "..".
	s.handlers.container.Dispatch(w, r)
}

func (s *Server) routes() *restful.Container {
	c := restful.NewContainer()
	c.Router(restful.CurlyRouter{})
	c.DoNotRecover(true) // net/http recovers, and must see http.ErrAbortHandler
	c.ServiceErrorHandler(func(e restful.ServiceError, _ *restful.Request, w *restful.Response) {
		WriteProblem(w, notRun(e.Code, ReasonBadRequest, "look at docs/PROTOCOLS.md", "%s", e.Message))
	})
	ws := new(restful.WebService).Path("/v1").Consumes("*/*").Produces("*/*")
	for _, m := range serviceMethods {
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
	start := s.now()
	v := s.View()
	if v == nil {
		WriteProblem(w, notRun(http.StatusServiceUnavailable, ReasonNotReady, "come back later", "this entry has no tables yet"))
		return
	}
	team := v.authenticate(r)
	if team == nil {
		WriteProblem(w, unauthorized())
		return
	}
	path, ok := targetPath(r)
	if !ok {
		WriteProblem(w, notRun(http.StatusNotFound, ReasonBadRequest, "begin the path with "+servicesPath+"SERVICE/", "path %q names no service", r.URL.Path))
		return
	}
	s.reportStep(StepAdmission, false)
	req, p := s.admit(v, team, rr.PathParameter("service"), path, r)
	s.reportStep(StepAdmission, true)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	if req.release != nil {
		defer req.release()
	}
	resp, p := s.runDeduplicated(r.Context(), v, req)
	if p != nil {
		w.Header().Set(HeaderRequest, req.ID)
		s.recordOutcome(req, p.Outcome, start)
		WriteProblem(w, p)
		return
	}
	s.reportStep(StepAnswer, false)
	complete := resp.writeTo(w, req.ID)
	s.reportStep(StepAnswer, true)
	if !complete {
		s.recordOutcome(req, OutcomeUnknown, start)
		panic(http.ErrAbortHandler) // closes the connection, so that the caller notices the truncated response
	}
	s.recordOutcome(req, OutcomeWhole, start)
}

func unauthorized() *Problem {
	return notRun(http.StatusUnauthorized, ReasonUnauthorized, "send the team's token as 'Authorization: Bearer TOKEN'", "the token is missing or not known")
}

// servicesPath is the prefix before the service's name in a request's path.
const servicesPath = "/v1/services/"

// targetPath returns the path and query for the target, with the caller's escaping preserved. It returns false when the
// request's path does not name a service.
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
