// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"rackstep.dev/admin"
	"rackstep.dev/claim"
	"rackstep.dev/config"
	"rackstep.dev/control"
	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/peer"
	"rackstep.dev/serve"
)

// Entry is one rackstepd.
type Entry struct {
	settings  config.Settings
	self      fleet.Entry
	listeners listeners
	mesh      *peer.Mesh
	book      *claim.Registry
	server    *serve.Server
	control   *control.Controller
	admin     *admin.Server
	metrics   metrics
	events    *event.Ring
	targets   *serve.Dispatcher
	platform  *http.Client
	cleanup   func()
	// callers answers callers; made by Run.
	callers *http.Server
}

// New opens the entry's addresses and puts its parts together.
func New(s config.Settings, o Options) (*Entry, error) {
	e, cleanup, err := build(s, o)
	if err != nil {
		return nil, err
	}
	e.cleanup = cleanup
	return e, nil
}

// Self returns the entry's name, place, life and addresses.
func (e *Entry) Self() fleet.Entry { return e.self }

// Ready says whether the entry serves callers.
func (e *Entry) Ready() bool { return e.server.Ready() }

// Times of a planned stop.
const (
	defaultStopDelay = 3 * time.Second
	drainTime        = 30 * time.Second
	leaveTime        = 2 * time.Second
)

// Bounds of the callers' and operators' connections.
const (
	readHeaderTime = 5 * time.Second
	readTime       = 30 * time.Second
	idleTime       = 75 * time.Second
	maxHeader      = 32 << 10
)

// Run serves until the context ends, then stops as planned.
func (e *Entry) Run(ctx context.Context) error {
	return e.RunUntil(ctx, func() bool { return false })
}

// RunUntil is Run, but breaks everything off as a crash would when crashed says so at the context's end; it is for tests.
func (e *Entry) RunUntil(ctx context.Context, crashed func() bool) error {
	return e.run(ctx, func() {
		if !crashed() {
			e.stop()
		}
	})
}

func (e *Entry) run(ctx context.Context, stop func()) error {
	defer e.cleanup()
	defer e.targets.CloseIdle()
	defer e.platform.CloseIdleConnections()
	defer func() { _ = e.metrics.closer.Close() }() // what is lost are the last metrics
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	end := make(chan struct{})
	g.Add(func() error { return waitStop(ctx, end, stop) }, func(error) { close(end) })
	for _, part := range [...]func(context.Context) error{e.mesh.Run, e.book.Run, e.control.Run} {
		ctx, cancel := context.WithCancel(parts)
		g.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	e.callers = newHTTPServer(e.server)
	addServer(&g, e.callers, e.listeners.caller, end)
	addServer(&g, newHTTPServer(e.admin), e.listeners.operator, end)
	err := g.Run()
	e.events.Emit(event.EntryStopped, event.Subject{}, "")
	if errors.Is(err, errStopped) {
		return nil
	}
	return fmt.Errorf("entry %s: %w", e.self.ID, err)
}

var errStopped = errors.New("stopped as planned")

// waitStop returns when the planned stop is complete, or at once when another part has ended.
func waitStop(ctx context.Context, end <-chan struct{}, stop func()) error {
	select {
	case <-ctx.Done():
		stop()
	case <-end:
	}
	return errStopped
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTime, ReadTimeout: readTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader}
}

// addServer adds the server to the group; when it was shut down its part ends with the others.
func addServer(g *run.Group, srv *http.Server, ln net.Listener, end <-chan struct{}) {
	g.Add(func() error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-end
		}
		return err
	}, func(error) { _ = srv.Close() }) // a planned stop has shut it down before
}

// stop finishes what callers have begun and leaves the tables.
func (e *Entry) stop() {
	e.events.Emit(event.EntryStopping, event.Subject{}, "")
	e.server.Stop()
	delay := e.settings.StopDelay.Std()
	if delay == 0 {
		delay = defaultStopDelay
	}
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	_ = e.server.Drain(ctx)     // what takes longer has passed its deadline
	_ = e.callers.Shutdown(ctx) // the last answers leave their buffers
	ctx, cancelLeave := context.WithTimeout(context.Background(), leaveTime)
	defer cancelLeave()
	_ = e.control.Leave(ctx) // without it the platform's list says the same a little later
}
