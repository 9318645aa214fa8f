// SPDX-License-Identifier: MIT

package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"rackstep.dev/route"
)

// errNotWritten means that no byte of the request was written to the target.
var errNotWritten = errors.New("no byte was written to the target")

// Dispatcher sends requests to targets, each at most once, and follows no redirect.
//
// A request that is not repeatable is sent on a new connection, because http.Transport retries some requests whose reused
// connection fails. Repeatable requests share keep-alive connections.
type Dispatcher struct {
	// DialTimeout limits the time to open a connection; 1s when 0.
	DialTimeout time.Duration
	// Dial opens a connection; a net.Dialer with DialTimeout is used when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	keepAlive *http.Transport
	singleUse *http.Transport
}

const (
	defaultDialTimeout = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerTarget   = 8
	maxResponseHeader  = 64 << 10
	dispatchBufferSize = 4 << 10
)

func (d *Dispatcher) initTransports() {
	d.keepAlive = d.newTransport()
	d.keepAlive.MaxIdleConnsPerHost = maxIdlePerTarget
	d.keepAlive.IdleConnTimeout = idleTimeout
	d.singleUse = d.newTransport()
	d.singleUse.DisableKeepAlives = true
}

func (d *Dispatcher) newTransport() *http.Transport {
	timeout := d.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: timeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeCountConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
		WriteBufferSize:        dispatchBufferSize,
		ReadBufferSize:         dispatchBufferSize,
	}
}

// CloseIdle closes the keep-alive connections that carry no request.
func (d *Dispatcher) CloseIdle() {
	d.once.Do(d.initTransports)
	d.keepAlive.CloseIdleConnections()
}

// send sends the request to the target and returns the response with an unread body.
//
// An error that wraps errNotWritten means that the request did not run and will not run.
func (d *Dispatcher) send(ctx context.Context, t route.Target, r *request) (*http.Response, error) {
	d.once.Do(d.initTransports)
	var writes writeTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: writes.addConn})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Address+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	req.Header = d.targetHeaders(t, r)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body)) // http.Transport can't resend a body without GetBody
		req.ContentLength = int64(len(r.Body))
	}
	transport := d.keepAlive
	if !r.Repeatable {
		transport = d.singleUse
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if !writes.seal() {
		return nil, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	return nil, err
}

func (d *Dispatcher) targetHeaders(t route.Target, r *request) http.Header {
	h := make(http.Header, len(r.Header)+4)
	for name, values := range r.Header {
		h[name] = values
	}
	h[HeaderRequest] = []string{r.ID}
	h[HeaderTeam] = []string{r.Team}
	h[HeaderGeneration] = []string{strconv.FormatUint(t.Generation, 10)}
	if !r.Repeatable {
		h[HeaderNotAfter] = []string{r.NotAfter.UTC().Format(time.RFC3339Nano)}
	}
	return h
}

// writeCountConn counts the bytes written to a connection, and rejects writes once it is sealed.
type writeCountConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

var errSealed = errors.New("the request was given up")

// Write writes p unless the connection is sealed.
func (c *writeCountConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p)) // before the write: a write that fails may have reached the target in part
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *writeCountConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all further writes fail and returns the number of bytes written so far.
func (c *writeCountConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeTracker tracks the connections that http.Transport used for one request.
type writeTracker struct {
	mu    sync.Mutex
	conns []trackedConn
}

// trackedConn is a connection and the number of bytes written to it before the request.
type trackedConn struct {
	conn  *writeCountConn
	start int64
}

func (w *writeTracker) addConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*writeCountConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, trackedConn{c, c.writtenBytes()})
}

// seal makes all further writes of the request fail and reports whether any byte of it was written.
func (w *writeTracker) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := false
	for _, u := range w.conns {
		if u.conn.seal() > u.start {
			written = true
		}
	}
	return written
}
