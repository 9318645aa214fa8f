// SPDX-License-Identifier: MIT

package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/route"
)

// fakeTarget is a target whose responses are written by the test. It counts the requests that it reads.
type fakeTarget struct {
	route.Target
	requests atomic.Int64
}

// newFakeTarget listens on loopback. It calls respond with the connection and the request's number after each request that it reads.
func newFakeTarget(c *quicktest.C, respond func(conn net.Conn, n int64)) *fakeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	t := &fakeTarget{Target: route.Target{Instance: "i", Address: ln.Addr().String()}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, respond)
		}
	}()
	return t
}

func (t *fakeTarget) serve(conn net.Conn, respond func(net.Conn, int64)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // only the arrival of the request matters
		respond(conn, t.requests.Add(1))
	}
}

func writeText(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func testRequest(repeatable bool) *request {
	return &request{ID: "r", Service: &Service{}, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Repeatable: repeatable}
}

// sendOnce sends the request and reads the response; the error is that of either step.
func sendOnce(d *Dispatcher, t *fakeTarget, r *request) (*response, error) {
	resp, err := d.send(context.Background(), t.Target, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out, err := readResponse(resp)
	if err == nil && out.Rest != nil {
		_, err = io.Copy(io.Discard, out.Rest)
	}
	return out, err
}

// A request that is not repeatable must not be sent again when its connection fails after the request was written.
func TestARequestNotToBeRepeatedIsSentOnceWhateverTheConnectionDoes(t *testing.T) {
	responses := map[string]func(net.Conn, int64){
		"closed without an answer": func(c net.Conn, _ int64) { _ = c.Close() },
		"closed in the head":       func(c net.Conn, _ int64) { writeText(c, "HTTP/1.1 200 OK\r\nCont"); _ = c.Close() },
		"closed in the body": func(c net.Conn, _ int64) {
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_ = c.Close()
		},
		"closed in a chunk": func(c net.Conn, _ int64) {
			writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok")
			_ = c.Close()
		},
		"answered with something else": func(c net.Conn, _ int64) { writeText(c, "hello\r\n\r\n"); _ = c.Close() },
	}
	for name, respond := range responses {
		for _, method := range [...]string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				c := quicktest.New(t)
				target := newFakeTarget(c, respond)
				d := new(Dispatcher)
				r := testRequest(false)
				r.Method, r.Key = method, "k"
				_, err := sendOnce(d, target, r)
				c.Assert(err, quicktest.IsNotNil)
				c.Assert(errors.Is(err, errNotWritten), quicktest.IsFalse)
				c.Assert(target.requests.Load(), quicktest.Equals, int64(1))
			})
		}
	}
}

// http.Transport retries requests on reused connections that fail. A request that is not repeatable must not be affected.
func TestAReusedConnectionThatBreaksDoesNotRepeatTheRequest(t *testing.T) {
	c := quicktest.New(t)
	// The connection stays open after the first response and is closed after the second request was read.
	target := newFakeTarget(c, func(conn net.Conn, n int64) {
		if n == 1 {
			writeText(conn, completeResponse)
			return
		}
		_ = conn.Close()
	})
	d := new(Dispatcher)
	_, err := sendOnce(d, target, testRequest(true))
	c.Assert(err, quicktest.IsNil)
	once := testRequest(false)
	once.Key = "k"
	_, err = sendOnce(d, target, once)
	c.Assert(err, quicktest.IsNotNil)
	c.Assert(target.requests.Load(), quicktest.Equals, int64(2))
}

func TestARedirectIsAnAnswerAndNotFollowed(t *testing.T) {
	c := quicktest.New(t)
	target := newFakeTarget(c, func(conn net.Conn, _ int64) {
		writeText(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
	})
	resp, err := sendOnce(new(Dispatcher), target, testRequest(false))
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.Status, quicktest.Equals, http.StatusTemporaryRedirect)
	c.Assert(target.requests.Load(), quicktest.Equals, int64(1))
}

func TestARequestThatWasNotWrittenIsKnownNotToHaveRun(t *testing.T) {
	c := quicktest.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := ln.Addr().String()
	c.Assert(ln.Close(), quicktest.IsNil)
	_, err = new(Dispatcher).send(context.Background(), route.Target{Address: address}, testRequest(false))
	c.Assert(errors.Is(err, errNotWritten), quicktest.IsTrue)

	target := newFakeTarget(c, func(conn net.Conn, _ int64) { writeText(conn, completeResponse) })
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = new(Dispatcher).send(cancelled, target.Target, testRequest(false))
	c.Assert(errors.Is(err, errNotWritten), quicktest.IsTrue)
	c.Assert(target.requests.Load(), quicktest.Equals, int64(0))
}

// A late response to a cancelled request must not be returned for the next request to the same target.
func TestAnAbandonedRequestsAnswerReachesNobody(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	target := newFakeTarget(c, func(conn net.Conn, n int64) {
		if n == 1 {
			<-release // the first request is cancelled before it gets its response
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			return
		}
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	})
	d := new(Dispatcher)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := d.send(ctx, target.Target, testRequest(true))
		failed <- err
	}()
	for target.requests.Load() == 0 {
		// wait until the target has read the request
	}
	cancel()
	c.Assert(<-failed, quicktest.IsNotNil)
	close(release)
	resp, err := sendOnce(d, target, testRequest(true))
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(resp.Body), quicktest.Equals, "second")
}

// The response is larger than maxBufferedBody, so it is truncated after its status and headers were passed on.
func TestALongAnswerThatEndsEarlyIsNotPassedAsWhole(t *testing.T) {
	c := quicktest.New(t)
	target := newFakeTarget(c, func(conn net.Conn, _ int64) {
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 200000))
		_ = conn.Close()
	})
	_, err := sendOnce(new(Dispatcher), target, testRequest(true))
	c.Assert(err, quicktest.IsNotNil)
}

func TestHeadersOfOneConnectionAndOfRackstepDoNotPass(t *testing.T) {
	c := quicktest.New(t)
	h := forwardedHeaders(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Authorization": {"Bearer t"}, "Idempotency-Key": {"k"}, "Accept": {"a"},
		"Rackstep-Generation": {"7"},
	})
	c.Assert(h, quicktest.DeepEquals, http.Header{"Accept": {"a"}})
}
