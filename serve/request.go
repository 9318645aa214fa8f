// SPDX-License-Identifier: MIT

package serve

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"rackstep.dev/internal/limit"
	"rackstep.dev/org"
)

// request is a caller's request after admission.
type request struct {
	ID      string
	Service *Service
	Team    string
	// Share is the team's weight when slots are divided between teams.
	Share  int
	Method string
	// Path is the path and query that are sent to the target.
	Path   string
	Header http.Header
	Body   []byte
	// release frees the room of the body; nil without a body.
	release func()
	Urgent  bool
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Key and NotAfter are set when the request is not repeatable.
	Key      string
	NotAfter time.Time
	// Deadline is the time by which the caller wants the response.
	Deadline time.Time
	// DataCentre is the data centre of the request's record, or empty.
	DataCentre string
	// NoWait means that the request is refused instead of queued when no slot is free.
	NoWait bool
}

// Limits and defaults of a request.
const (
	maxHeaderValue = 256
	maxKey         = 128
	defaultTimeout = 10 * time.Second
	defaultMaxBody = 1 << 20
)

// admit checks the request against the view. It changes no state, so that a request that gets a Problem has not run.
func (s *Server) admit(v *View, team *org.Organisation, service, path string, r *http.Request) (*request, *Problem) {
	svc := v.Services[service]
	if svc == nil {
		return nil, notRun(http.StatusNotFound, ReasonNoSuchService, "look at the services of the configuration", "service %q is not known", service)
	}
	req := &request{
		ID: s.requestID(r), Service: svc, Team: team.Name, Share: int(team.Weight),
		Method: r.Method, Path: path, Header: forwardedHeaders(r.Header),
	}
	for _, read := range [...]func(*request, *http.Request) *Problem{s.readPriority, s.readTimeout, s.readDataCentre(v), s.readRepeatable, s.readBody} {
		if p := read(req, r); p != nil {
			return nil, p
		}
	}
	return req, nil
}

func (s *Server) requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequest); id != "" && len(id) <= maxKey && printable(id) {
		return id
	}
	return rand.Text()
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func (s *Server) readPriority(req *request, r *http.Request) *Problem {
	switch v := r.Header.Get(HeaderPriority); v {
	case "", "ordinary":
	case "urgent":
		req.Urgent = true
	default:
		return badHeader(HeaderPriority, v, "write urgent or ordinary, or leave it out")
	}
	return nil
}

func (s *Server) readTimeout(req *request, r *http.Request) *Problem {
	limit := req.Service.Timeout.Std()
	if limit == 0 {
		limit = defaultTimeout
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return badHeader(HeaderTimeout, v, "write a positive duration, as in 500ms")
		}
		limit = min(limit, d)
	}
	req.Deadline = s.now().Add(limit)
	return nil
}

func (s *Server) readDataCentre(v *View) func(*request, *http.Request) *Problem {
	return func(req *request, r *http.Request) *Problem {
		req.DataCentre = r.Header.Get(HeaderDataCentre)
		if len(v.Allowed(req.Service, req.DataCentre)) == 0 {
			return notRun(http.StatusForbidden, ReasonResidency, "name one of the service's data centres or leave the header out",
				"service %q may not run in data centre %q", req.Service.Name, req.DataCentre)
		}
		return nil
	}
}

func (s *Server) readRepeatable(req *request, r *http.Request) *Problem {
	switch v := r.Header.Get(HeaderRepeatable); v {
	case "":
		req.Repeatable = r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	case "yes":
		req.Repeatable = true
	case "no":
	default:
		return badHeader(HeaderRepeatable, v, "write yes or no, or leave it out")
	}
	if req.Repeatable {
		return nil
	}
	req.Key = r.Header.Get(HeaderKey)
	if req.Key == "" || len(req.Key) > maxKey || !printable(req.Key) {
		return badHeader(HeaderKey, req.Key, "a request that is not repeatable needs a key of 1 to 128 printable characters without spaces")
	}
	at, err := http.ParseTime(r.Header.Get(HeaderNotAfter))
	if err != nil {
		if at, err = time.Parse(time.RFC3339Nano, r.Header.Get(HeaderNotAfter)); err != nil {
			return badHeader(HeaderNotAfter, r.Header.Get(HeaderNotAfter), "write the time after which it must not run as in RFC 3339, and the same time in every repeat")
		}
	}
	req.NotAfter = at
	return nil
}

func (s *Server) readBody(req *request, r *http.Request) *Problem {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	maxBody := s.MaxBody
	if maxBody == 0 {
		maxBody = defaultMaxBody
	}
	body, err := s.Guard.ReadBody(r, maxBody, nil)
	if err != nil {
		return BodyProblem(err, maxBody)
	}
	// A caller that repeats the request may be given the response after this one has left, so the body must outlive its room.
	req.Body, req.release = body.Copy(), body.Release
	return nil
}

// BodyProblem returns the problem for a body that was not read whole.
func BodyProblem(err error, maxBody int64) *Problem {
	switch {
	case errors.Is(err, limit.ErrTooLarge):
		return notRun(http.StatusRequestEntityTooLarge, ReasonTooLarge, "send it in parts", "the body is over %d bytes", maxBody)
	case limit.IsRefusal(err):
		p := notRun(http.StatusServiceUnavailable, ReasonBusy, "come back in a second", "%v", err)
		p.RetryAfter = time.Second
		return p
	}
	return notRun(http.StatusBadRequest, ReasonBadRequest, "send the whole body", "the body could not be read: %v", err)
}

func badHeader(name, value, remedy string) *Problem {
	if len(value) > maxHeaderValue {
		value = value[:maxHeaderValue]
	}
	return notRun(http.StatusBadRequest, ReasonBadRequest, remedy, "header %s is %q", name, value)
}

// digest returns a hash that distinguishes different requests with the same key.
func (r *request) digest() [16]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q %q %d\n", r.Service.Name, r.Method, r.Path, r.DataCentre, len(r.Body))
	h.Write(r.Body)
	return [16]byte(h.Sum(nil))
}

// strippedHeaders are the canonical names of headers that are not forwarded, because they concern a single connection or
// rackstep itself.
var strippedHeaders = canonicalSet("Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Authorization", HeaderRequest, HeaderDataCentre, HeaderPriority,
	HeaderTimeout, HeaderRepeatable, HeaderNotAfter, HeaderTeam, HeaderGeneration, HeaderNotRun, HeaderOutcome, HeaderKey)

func canonicalSet(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[textproto.CanonicalMIMEHeaderKey(n)] = true
	}
	return m
}

// forwardedHeaders returns the headers that are passed on, without strippedHeaders and those listed in Connection.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	connection := h.Values("Connection")
	for name, values := range h {
		if !strippedHeaders[name] && !listContains(connection, name) {
			out[name] = values
		}
	}
	return out
}

// listContains reports whether one of the comma-separated lists contains the name, ignoring case.
func listContains(lists []string, name string) bool {
	for _, list := range lists {
		for item := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(item), name) {
				return true
			}
		}
	}
	return false
}

// TokenHash returns the hash of a token in the form that configurations use.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
