// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"rackstep.dev/admin"
	"rackstep.dev/claim"
	"rackstep.dev/config"
	"rackstep.dev/control"
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/clock"
	"rackstep.dev/internal/meter"
	"rackstep.dev/peer"
	"rackstep.dev/plan"
	"rackstep.dev/provider"
	"rackstep.dev/serve"
)

// Options are what a process or a test sets beside the settings; the zero value is what rackstepd uses.
type Options struct {
	// Logger receives the events; none when nil.
	Logger log.Logger
	// Platform sends requests to the platform; a fault switch of tests.
	Platform http.RoundTripper
	// Clock tells the time since the platform's was heard; the steady clock, which no suspension moves, when nil.
	Clock *clock.Clock
	// Listen and Dial replace the network's; for tests on fake time.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// OnStep is called at each step of a request; a fault switch of tests.
	OnStep func(step serve.Step, after bool)
	// Partitioned says that no bytes may pass to or from the peer; a fault switch of tests.
	Partitioned func(entry string) bool
}

// logs are the two streams that entries keep in the platform's service.
type logs struct{ fleet, claims *feed.Log }

// listeners are the entry's open addresses.
type listeners struct{ caller, operator, peer net.Listener }

func (l listeners) close() {
	for _, x := range [...]net.Listener{l.caller, l.operator, l.peer} {
		if x != nil {
			_ = x.Close() // it may be closed already
		}
	}
}

func newIdentity(s config.Settings, l listeners) fleet.Entry {
	return fleet.Entry{
		ID: s.Entry, DataCentre: s.DataCentre, Boot: rand.Text(),
		PeerAddress: l.peer.Addr().String(), CallerAddress: l.caller.Addr().String(), OperatorAddress: l.operator.Addr().String(),
	}
}

func newClock(o Options) *feed.Clock { return &feed.Clock{Local: o.Clock} }

// meters count what control sends and receives.
type meters struct{ peers, platform *meter.Meter }

func newMeters() meters { return meters{peers: new(meter.Meter), platform: new(meter.Meter)} }

func newHTTPClient(o Options, m meters) *http.Client {
	if o.Platform != nil {
		return &http.Client{Transport: o.Platform}
	}
	const connections = 32
	return &http.Client{Transport: &http.Transport{
		DialContext: m.platform.Dial(o.Dial), MaxIdleConnsPerHost: connections, IdleConnTimeout: time.Minute,
	}}
}

func newPlatform(s config.Settings, c *http.Client) *provider.Client {
	return &provider.Client{URL: s.Platform, HTTP: c}
}

func newLogs(s config.Settings, c *http.Client, clock *feed.Clock) logs {
	name := func(set, def string) string {
		if set == "" {
			return def
		}
		return set
	}
	return logs{
		fleet:  &feed.Log{URL: s.Platform, Name: name(s.FleetLog, "fleet"), Client: c, Clock: clock},
		claims: &feed.Log{URL: s.Platform, Name: name(s.ClaimsLog, "claims"), Client: c, Clock: clock},
	}
}

func newEvents(s config.Settings, o Options) *event.Ring {
	r := &event.Ring{Entry: s.Entry}
	if o.Logger != nil {
		r.Logger = log.With(o.Logger, "entry", s.Entry)
	}
	return r
}

func newListeners(s config.Settings, o Options) (listeners, func(), error) {
	var l listeners
	listen := o.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for _, x := range [...]struct {
		into    *net.Listener
		address string
	}{{&l.caller, s.CallerAddress}, {&l.operator, s.OperatorAddress}, {&l.peer, s.PeerAddress}} {
		ln, err := listen(x.address)
		if err != nil {
			l.close()
			return listeners{}, nil, fmt.Errorf("listen: %w; set an address of this instance that is free", err)
		}
		*x.into = ln
	}
	server, err := s.TLS.ServerConfig()
	if err != nil {
		l.close()
		return listeners{}, nil, err
	}
	if server != nil {
		l.caller, l.operator = tls.NewListener(l.caller, server), tls.NewListener(l.operator, server)
	}
	return l, l.close, nil
}

func newMesh(s config.Settings, self fleet.Entry, l listeners, events *event.Ring, m meters, o Options) (*peer.Mesh, error) {
	secret, err := s.LoadPeerSecret()
	if err != nil {
		return nil, err
	}
	links, err := s.TLS.PeerConfig()
	if err != nil {
		return nil, err
	}
	return &peer.Mesh{
		Self: peer.Identity{Entry: self.ID, DataCentre: self.DataCentre, Boot: self.Boot}, Secret: secret, TLS: links,
		Listener: l.peer, Dial: o.Dial, Partitioned: o.Partitioned, Events: events, Meter: m.peers,
	}, nil
}

func newBook(l logs, clock *feed.Clock) *claim.Registry {
	return &claim.Registry{Append: l.claims.AppendOne, Clock: clock.Now}
}

func newDispatcher(o Options) *serve.Dispatcher { return &serve.Dispatcher{Dial: o.Dial} }

func newServer(s config.Settings, self fleet.Entry, book *claim.Registry, mesh *peer.Mesh, d *serve.Dispatcher, events *event.Ring, m metrics, clock *feed.Clock, o Options) *serve.Server {
	return &serve.Server{
		Self: self.ID, DataCentre: self.DataCentre, Boot: self.Boot, Book: book, Mesh: mesh, Targets: d,
		Events: events, OnStep: o.OnStep, Metrics: tally.Scope(m.scope), Clock: clock.Now, MaxBody: int64(s.MaxBody),
	}
}

func newController(s config.Settings, self fleet.Entry, l logs, p *provider.Client, mesh *peer.Mesh, server *serve.Server, book *claim.Registry, events *event.Ring, clock *feed.Clock, m meters) *control.Controller {
	c := &control.Controller{
		Self: self, FleetLog: l.fleet, ClaimsLog: l.claims, Platform: p, Mesh: mesh, Server: server, Registry: book, Events: events,
		PeerMeter: m.peers, PlatformMeter: m.platform,
		Costs: plan.Costs{Maintenance: s.Maintenance.Std()}, CheckpointEvery: s.CheckpointEvery.Std(), Clock: clock.Now,
	}
	for _, x := range s.Peers {
		c.Seeds = append(c.Seeds, control.Seed{Entry: x.Entry, DataCentre: x.DataCentre, Address: x.Address})
	}
	c.Init()
	mesh.Serve = c.ServeStream
	server.Jobs = serve.Jobs{Submit: c.SubmitJob, Cancel: c.CancelJob, Get: c.GetJob}
	return c
}

func newAdmin(s config.Settings, c *control.Controller, m metrics) *admin.Server {
	return &admin.Server{
		BootstrapTokenHash: s.BootstrapTokenHash, Metrics: m.handler, Publish: c.Publish, ReadTables: c.Read, Status: c.Status,
		MakePlan: func(t *fleet.Tables, id string, intent fleet.Intent) (fleet.Plan, error) {
			return plan.Make(t, id, intent, c.Costs)
		},
		TimeLine: c.TimeLine,
	}
}
