// SPDX-License-Identifier: MIT

package serve

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"rackstep.dev/claim"
	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/org"
	"rackstep.dev/peer/peerpb"
)

// emptyServer serves one service that has no target, so that nothing can run.
func emptyServer() *Server {
	s := &Server{Self: "e", DataCentre: "a", Targets: &Dispatcher{}, Events: &event.Ring{}, Book: &claim.Registry{}}
	svc := &Service{Service: fleet.Service{Name: "s", DataCentres: []string{"a"}}, Owner: "e", Slots: 1, AvailableIn: []string{"a"}}
	s.SetView(&View{ByDistance: []string{"a"}, Services: map[string]*Service{"s": svc}, Organisations: fuzzTeams()})
	return s
}

// FuzzCaller sends whatever can be read as HTTP; every answer says what became of the request, and none says that it ran.
func FuzzCaller(f *testing.F) {
	for _, seed := range [...]string{
		"GET /v1/services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n\r\n",
		"POST /v1/services/s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nRackstep-Repeatable: yes\r\nRackstep-Timeout: 1ms\r\nContent-Length: 2\r\n\r\nab",
		"PUT /v1/services/s/%2e%2e/?q=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nRackstep-Data-Centre: b\r\n\r\n",
		"DELETE /v1/services/none/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nRackstep-Priority: odd\r\n\r\n",
		"POST /v1/services/s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nIdempotency-Key: k\r\nRackstep-Not-After: 2020-01-01T00:00:00Z\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	s := emptyServer()
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		if r.Header.Get(HeaderKey) != "" {
			r.Header.Set(HeaderNotAfter, "2020-01-01T00:00:00Z") // this server has no log to claim a key with
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code < 400 && r.URL.Path != "/health/ready" {
			t.Fatalf("%q was answered with %d", b, w.Code)
		}
		if w.Header().Get(HeaderOutcome) == string(OutcomeWhole) {
			t.Fatalf("%q counts as run", b)
		}
	})
}

// FuzzRelayed hands over whatever can be read as another entry's request; it never counts as run.
func FuzzRelayed(f *testing.F) {
	for _, m := range [...]*peerpb.RelayRequest{
		{Id: "r", Service: "s", Team: "team", Method: "GET", Path: "/x", Repeatable: true, RemainingUs: 1000},
		{Id: "r", Service: "none"}, {Service: "s", DataCentre: "b"}, {Service: "s", Repeatable: true, NoWait: true, Share: -1},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	s := emptyServer()
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(peerpb.RelayRequest)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		m.Repeatable = true // this server has no log to claim a key with
		a, p := s.relayed(context.Background(), m)
		if a != nil || p == nil || p.Outcome != OutcomeNotRun {
			t.Fatalf("%v was answered with %+v, %+v", m, a, p)
		}
	})
}

func TestTheTargetGetsThePathAsTheCallerWroteIt(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range [...]struct {
		url, path string
		ok        bool
	}{
		{"/v1/services/s", "/", true},
		{"/v1/services/s/", "/", true},
		{"/v1/services/s/a//b/../c%2Fd?x=%20", "/a//b/../c%2Fd?x=%20", true},
		{"/v1/services/%73/a", "/a", true},
		{"//v1/services/s/a", "", false},
	} {
		u, err := url.ParseRequestURI(test.url)
		c.Assert(err, quicktest.IsNil)
		path, ok := targetPath(&http.Request{URL: u})
		c.Assert(ok, quicktest.Equals, test.ok, quicktest.Commentf(test.url))
		c.Assert(path, quicktest.Equals, test.path)
	}
}

func TestAnOddPathIsNotRedirected(t *testing.T) {
	c := quicktest.New(t)
	for _, path := range [...]string{"/v1/services/s/a//b", "/v1/services/s/../b", "/.", "//v1/services/s/x"} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.URL = &url.URL{Path: path}
		r.Header.Set("Authorization", "Bearer t")
		w := httptest.NewRecorder()
		emptyServer().ServeHTTP(w, r)
		c.Assert(w.Code >= 400, quicktest.IsTrue, quicktest.Commentf("%s: %d", path, w.Code))
	}
}

func fuzzTeams() *org.Directory {
	d, _ := org.NewDirectory([]org.Organisation{{Name: "team", Weight: 1, Keys: []org.Digest{org.DigestOf("t")}}}) // it has no mistake
	return d
}
