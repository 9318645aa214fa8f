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
	"rackstep.dev/internal/limit"
	"rackstep.dev/peer"
	"rackstep.dev/serve"
)

// Entry is a rackstepd process.
type Entry struct {
	settings  config.Settings
	self      fleet.Entry
	listeners boundedListeners
	mesh      *peer.Mesh
	registry  *claim.Registry
	server    *serve.Server
	control   *control.Controller
	admin     *admin.Server
	metrics   metrics
	events    *event.Ring
	targets   *serve.Dispatcher
	platform  *http.Client
	guard     *limit.Guard
	cleanup   func()
	// callerServer serves callers; it is created by Run.
	callerServer *http.Server
}

// New opens the entry's addresses and assembles its components.
func New(s config.Settings, o Options) (*Entry, error) {
	e, cleanup, err := build(s, o)
	if err != nil {
		return nil, err
	}
	e.cleanup = cleanup
	return e, nil
}

// Self returns the entry's name, data centre, boot ID and addresses.
func (e *Entry) Self() fleet.Entry { return e.self }

// Ready reports whether the entry is ready to serve callers.
func (e *Entry) Ready() bool { return e.server.Ready() }

// Times of a planned shutdown.
const (
	defaultStopDelay = 3 * time.Second
	drainTimeout     = 30 * time.Second
	leaveTimeout     = 2 * time.Second
)

// Run serves until the context ends and then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	return e.RunUntil(ctx, func() bool { return false })
}

// RunUntil is like Run, but stops without a graceful shutdown if crashed returns true when the context ends. Tests use it to
// simulate a crash.
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
	defer func() { _ = e.metrics.closer.Close() }() // only the last metrics are lost on an error
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	end := make(chan struct{})
	g.Add(func() error { return waitStop(ctx, end, stop) }, func(error) { close(end) })
	for _, component := range [...]func(context.Context) error{e.mesh.Run, e.registry.Run, e.control.Run} {
		ctx, cancel := context.WithCancel(componentsCtx)
		g.Add(func() error { return component(ctx) }, func(error) { cancel() })
	}
	e.callerServer = e.guard.Server(e.server)
	addServer(&g, e.callerServer, e.listeners.caller, end)
	addServer(&g, e.guard.Server(e.admin), e.listeners.operator, end)
	err := g.Run()
	e.events.Emit(event.EntryStopped, event.Subject{}, "")
	if errors.Is(err, errStopped) {
		return nil
	}
	return fmt.Errorf("entry %s: %w", e.self.ID, err)
}

var errStopped = errors.New("stopped as planned")

// waitStop calls stop when ctx ends and returns when stop is complete. It returns immediately when another component has ended.
func waitStop(ctx context.Context, end <-chan struct{}, stop func()) error {
	select {
	case <-ctx.Done():
		stop()
	case <-end:
	}
	return errStopped
}

// addServer adds the server to the group. After a graceful shutdown of the server, its actor waits for end, so that it does not stop
// the other components early.
func addServer(g *run.Group, srv *http.Server, ln net.Listener, end <-chan struct{}) {
	g.Add(func() error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-end
		}
		return err
	}, func(error) { _ = srv.Close() }) // a graceful shutdown has closed it already
}

// stop waits for callers' requests in progress and removes the entry from the tables.
func (e *Entry) stop() {
	e.events.Emit(event.EntryStopping, event.Subject{}, "")
	e.server.Stop()
	delay := e.settings.StopDelay.Std()
	if delay == 0 {
		delay = defaultStopDelay
	}
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	_ = e.server.Drain(ctx)          // requests that take longer have exceeded their deadline
	_ = e.callerServer.Shutdown(ctx) // sends the buffered responses
	ctx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	_ = e.control.Leave(ctx) // if it fails, the other entries learn it later from the platform's list
}
