// SPDX-License-Identifier: MIT

package limit

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// Guard bounds the clients of one process. Its fields are set before use; the zero value has the default limits.
type Guard struct {
	Limits Limits
	// Metrics receives the counts; optional.
	Metrics tally.Scope
	// Report receives the number of refusals by cause since the last report, at most every reportInterval; optional.
	Report func(text string)

	once    sync.Once
	limits  Limits
	small   pool
	large   pool
	decodes *semaphore.Weighted
	meters  meters

	connections, bodies, bodyBytes atomic.Int64
	counts                         [causes]atomic.Int64
	reportedAt                     atomic.Int64
}

// meters are the Guard's metrics, all nil without a scope.
type meters struct {
	connections, bodies, bodyBytes tally.Gauge
	refused                        [causes]tally.Counter
}

// reportInterval is the least time between two reports, which bounds what a crowd makes a process log.
const reportInterval = 10 * time.Second

// idleTimeout and headerTimeout limit the time without a request and the time of a request's headers.
const (
	idleTimeout   = 75 * time.Second
	headerTimeout = 5 * time.Second
)

// init derives what the methods need from the limits.
func (g *Guard) init() {
	g.once.Do(func() {
		g.limits = g.Limits.Or(For(0, 0))
		g.small.size, g.large.size = g.limits.SmallBodies, g.limits.LargeBodies
		g.small.room, g.large.room = semaphore.NewWeighted(g.small.size), semaphore.NewWeighted(g.large.size)
		g.decodes = semaphore.NewWeighted(int64(g.limits.LargeDecodes))
		if g.Metrics == nil {
			return
		}
		g.meters.connections, g.meters.bodies, g.meters.bodyBytes = g.Metrics.Gauge("client_connections"), g.Metrics.Gauge("bodies"), g.Metrics.Gauge("body_bytes")
		for c := range causes {
			g.meters.refused[c] = g.Metrics.Tagged(map[string]string{"cause": c.String()}).Counter("clients_refused")
		}
	})
}

// count records a refusal, and reports all since the last report if that is long enough ago.
func (g *Guard) count(c Cause) {
	g.counts[c].Add(1)
	if g.meters.refused[c] != nil {
		g.meters.refused[c].Inc(1)
	}
	last, now := g.reportedAt.Load(), time.Now().UnixNano()
	if g.Report == nil || now-last < int64(reportInterval) || !g.reportedAt.CompareAndSwap(last, now) {
		return
	}
	var text strings.Builder
	for c := range causes {
		if n := g.counts[c].Swap(0); n > 0 {
			fmt.Fprintf(&text, "%s=%d ", c, n)
		}
	}
	fmt.Fprintf(&text, "connections=%d bodies=%d body_bytes=%d", g.connections.Load(), g.bodies.Load(), g.bodyBytes.Load())
	g.Report(text.String())
}

func add(sum *atomic.Int64, gauge tally.Gauge, n int64) {
	if v := sum.Add(n); gauge != nil {
		gauge.Update(float64(v))
	}
}

// Server returns a server whose requests are bounded if its connections come from Listener.
func (g *Guard) Server(h http.Handler) *http.Server {
	g.init()
	return &http.Server{
		Handler: g.handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: g.limits.HeaderBytes,
		ConnState: func(c net.Conn, s http.ConnState) {
			if x := unwrap(c); x != nil && s == http.StateIdle {
				x.await()
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if x := unwrap(c); x != nil {
				x.http, x.plain = true, x == c
				x.countLines.Store(x.plain)
				return context.WithValue(ctx, connKey{}, x)
			}
			return ctx
		},
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// unwrap returns the connection of a Listener below c, or nil.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	x, _ := c.(*conn)
	return x
}
