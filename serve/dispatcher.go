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

// Dispatcher sends requests to targets, each at most once.
//
// It follows no redirect. A request that is not repeatable gets a connection of its own, on which the
// transport never sends again; the transport's own replays on reused connections concern repeatable ones only.
type Dispatcher struct {
	// DialTimeout bounds a connection's opening; 1s when 0.
	DialTimeout time.Duration
	// Dial opens a connection; a net.Dialer's when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once   sync.Once
	pooled *http.Transport
	single *http.Transport
}

const (
	defaultDial = time.Second
	idleTimeout = 30 * time.Second
	idlePerHost = 8
	headerLimit = 64 << 10
	dispatchBuf = 4 << 10
)

func (d *Dispatcher) start() {
	d.pooled = d.transport()
	d.pooled.MaxIdleConnsPerHost = idlePerHost
	d.pooled.IdleConnTimeout = idleTimeout
	d.single = d.transport()
	d.single.DisableKeepAlives = true
}

func (d *Dispatcher) transport() *http.Transport {
	timeout := d.DialTimeout
	if timeout == 0 {
		timeout = defaultDial
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
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
		WriteBufferSize:        dispatchBuf,
		ReadBufferSize:         dispatchBuf,
	}
}

// CloseIdle closes connections that carry no request.
func (d *Dispatcher) CloseIdle() {
	d.once.Do(d.start)
	d.pooled.CloseIdleConnections()
}

// send sends the request to the target and returns the head of its answer.
//
// An error that wraps errNotWritten means that the request did not run and will not.
func (d *Dispatcher) send(ctx context.Context, t route.Target, r *request) (*http.Response, error) {
	d.once.Do(d.start)
	var writes writeCheck
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: writes.gotConn})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+t.Address+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	req.Header = d.headers(t, r)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body)) // without GetBody, so the transport can't send it again
		req.ContentLength = int64(len(r.Body))
	}
	transport := d.pooled
	if !r.Repeatable {
		transport = d.single
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

func (d *Dispatcher) headers(t route.Target, r *request) http.Header {
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

// countedConn knows whether bytes were written and can refuse further ones.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

var errSealed = errors.New("the request was given up")

// Write writes p unless the connection is sealed.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p)) // counted before it happens: a write that fails half way may have reached the target
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

func (c *countedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// writeCheck follows the connections that one request was given.
type writeCheck struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn  *countedConn
	start int64
}

func (w *writeCheck) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, usedConn{c, c.count()})
}

// seal stops all further writes of the request and says whether any byte was written.
func (w *writeCheck) seal() bool {
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
