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

// rawTarget is a target that answers each connection as the test says, and counts the requests that it reads.
type rawTarget struct {
	route.Target
	requests atomic.Int64
}

// newRawTarget listens on loopback; answer gets each connection after one request was read from it, and its number.
func newRawTarget(c *quicktest.C, answer func(conn net.Conn, n int64)) *rawTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	t := &rawTarget{Target: route.Target{Instance: "i", Address: ln.Addr().String()}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, answer)
		}
	}()
	return t
}

func (t *rawTarget) serve(conn net.Conn, answer func(net.Conn, int64)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // what matters is that it came
		answer(conn, t.requests.Add(1))
	}
}

func say(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func testRequest(repeatable bool) *request {
	return &request{ID: "r", Service: &Service{}, Method: http.MethodGet, Path: "/x", Header: http.Header{}, Repeatable: repeatable}
}

// sendOnce sends the request and reads its answer; the error is of either.
func sendOnce(d *Dispatcher, t *rawTarget, r *request) (*answer, error) {
	resp, err := d.send(context.Background(), t.Target, r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a, err := readAnswer(resp)
	if err == nil && a.Rest != nil {
		_, err = io.Copy(io.Discard, a.Rest)
	}
	return a, err
}

func TestARequestNotToBeRepeatedIsSentOnceWhateverTheConnectionDoes(t *testing.T) {
	answers := map[string]func(net.Conn, int64){
		"closed without an answer": func(c net.Conn, _ int64) { _ = c.Close() },
		"closed in the head":       func(c net.Conn, _ int64) { say(c, "HTTP/1.1 200 OK\r\nCont"); _ = c.Close() },
		"closed in the body":       func(c net.Conn, _ int64) { say(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"); _ = c.Close() },
		"closed in a chunk": func(c net.Conn, _ int64) {
			say(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok")
			_ = c.Close()
		},
		"answered with something else": func(c net.Conn, _ int64) { say(c, "hello\r\n\r\n"); _ = c.Close() },
	}
	for name, answer := range answers {
		for _, method := range [...]string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				c := quicktest.New(t)
				target := newRawTarget(c, answer)
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

func TestAReusedConnectionThatBreaksDoesNotRepeatTheRequest(t *testing.T) {
	c := quicktest.New(t)
	// The first answer leaves the connection open; the second request on it is read and not answered.
	target := newRawTarget(c, func(conn net.Conn, n int64) {
		if n == 1 {
			say(conn, wholeAnswer)
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
	target := newRawTarget(c, func(conn net.Conn, _ int64) {
		say(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
	})
	a, err := sendOnce(new(Dispatcher), target, testRequest(false))
	c.Assert(err, quicktest.IsNil)
	c.Assert(a.Status, quicktest.Equals, http.StatusTemporaryRedirect)
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

	target := newRawTarget(c, func(conn net.Conn, _ int64) { say(conn, wholeAnswer) })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = new(Dispatcher).send(ended, target.Target, testRequest(false))
	c.Assert(errors.Is(err, errNotWritten), quicktest.IsTrue)
	c.Assert(target.requests.Load(), quicktest.Equals, int64(0))
}

func TestAnAbandonedRequestsAnswerReachesNobody(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	target := newRawTarget(c, func(conn net.Conn, n int64) {
		if n == 1 {
			<-release // the first request's answer comes late
			say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
			return
		}
		say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	})
	d := new(Dispatcher)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := d.send(ctx, target.Target, testRequest(true))
		failed <- err
	}()
	for target.requests.Load() == 0 {
		// the request is on its way
	}
	cancel()
	c.Assert(<-failed, quicktest.IsNotNil)
	close(release)
	a, err := sendOnce(d, target, testRequest(true))
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(a.Body), quicktest.Equals, "second")
}

func TestALongAnswerThatEndsEarlyIsNotPassedAsWhole(t *testing.T) {
	c := quicktest.New(t)
	target := newRawTarget(c, func(conn net.Conn, _ int64) {
		say(conn, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 200000))
		_ = conn.Close()
	})
	_, err := sendOnce(new(Dispatcher), target, testRequest(true))
	c.Assert(err, quicktest.IsNotNil)
}

func TestHeadersOfOneConnectionAndOfRackstepDoNotPass(t *testing.T) {
	c := quicktest.New(t)
	h := forwarded(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Authorization": {"Bearer t"}, "Idempotency-Key": {"k"}, "Accept": {"a"},
		"Rackstep-Generation": {"7"},
	})
	c.Assert(h, quicktest.DeepEquals, http.Header{"Accept": {"a"}})
}
