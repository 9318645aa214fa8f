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
	"rackstep.dev/internal/limit"
	"rackstep.dev/internal/meter"
	"rackstep.dev/peer"
	"rackstep.dev/plan"
	"rackstep.dev/provider"
	"rackstep.dev/serve"
)

// Options are set by the process or a test in addition to the settings. The zero value is valid.
type Options struct {
	// Logger receives the events; they are not logged when nil.
	Logger log.Logger
	// Platform sends requests to the platform; the network is used when nil. Tests use it to inject faults.
	Platform http.RoundTripper
	// Clock measures the time since the platform's time was last received. The monotonic clock, which does not advance while the
	// machine is suspended, is used when nil.
	Clock *clock.Clock
	// Limits replace those limits of clients' requests that are not 0.
	Limits limit.Limits
	// MemoryMB and MaxFiles are the memory in MiB and the file descriptors from which the other limits are derived; 512 and 4,096 when 0.
	MemoryMB, MaxFiles int
	// Listen and Dial replace those of package net, in tests with a fake clock.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// OnStep is called before and after each step of a request. Tests use it to inject faults.
	OnStep func(step serve.Step, after bool)
	// Partitioned reports whether this entry is partitioned from the peer. Tests use it to inject faults.
	Partitioned func(entry string) bool
}

// logs are the two logs that entries keep in the platform's log service.
type logs struct{ fleet, claims *feed.Log }

// listeners are the entry's listening sockets.
type listeners struct{ caller, operator, peer net.Listener }

func (l listeners) close() {
	for _, x := range [...]net.Listener{l.caller, l.operator, l.peer} {
		if x != nil {
			_ = x.Close() // an error means that it is closed already
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

// meters count the bytes that control exchanges with peers and with the platform.
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
	return l, l.close, nil
}

// operatorConnections is the number of connections of operators, who are few.
const operatorConnections = 16

// boundedListeners are the listeners with a bound on their connections.
type boundedListeners listeners

// newBounded bounds the connections of all listeners. TLS comes above the bound, so that a handshake costs a place too.
func newBounded(s config.Settings, l listeners, g *limit.Guard) (boundedListeners, error) {
	b := boundedListeners{
		caller: g.Listener(l.caller, g.Limits.Connections), operator: g.Listener(l.operator, operatorConnections), peer: g.PeerListener(l.peer),
	}
	server, err := s.TLS.ServerConfig()
	if err != nil {
		return boundedListeners{}, err
	}
	if server != nil {
		b.caller, b.operator = tls.NewListener(b.caller, server), tls.NewListener(b.operator, server)
	}
	return b, nil
}

func newMesh(s config.Settings, self fleet.Entry, l boundedListeners, events *event.Ring, m meters, o Options) (*peer.Mesh, error) {
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
		Authenticated: limit.Hold,
	}, nil
}

func newRegistry(l logs, clock *feed.Clock) *claim.Registry {
	return &claim.Registry{Append: l.claims.AppendOne, Clock: clock.Now}
}

func newDispatcher(o Options) *serve.Dispatcher { return &serve.Dispatcher{Dial: o.Dial} }

func newServer(s config.Settings, self fleet.Entry, registry *claim.Registry, mesh *peer.Mesh, d *serve.Dispatcher, events *event.Ring, m metrics, clock *feed.Clock, guard *limit.Guard, o Options) *serve.Server {
	return &serve.Server{
		Self: self.ID, DataCentre: self.DataCentre, Boot: self.Boot, Registry: registry, Mesh: mesh, Targets: d,
		Events: events, OnStep: o.OnStep, Metrics: tally.Scope(m.scope), Clock: clock.Now, MaxBody: int64(s.MaxBody), Guard: guard,
	}
}

func newController(s config.Settings, self fleet.Entry, l logs, p *provider.Client, mesh *peer.Mesh, server *serve.Server, registry *claim.Registry, events *event.Ring, clock *feed.Clock, m meters) *control.Controller {
	c := &control.Controller{
		Self: self, FleetLog: l.fleet, ClaimsLog: l.claims, Platform: p, Mesh: mesh, Server: server, Registry: registry, Events: events,
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

func newAdmin(s config.Settings, c *control.Controller, m metrics, guard *limit.Guard) *admin.Server {
	return &admin.Server{
		Guard:              guard,
		BootstrapTokenHash: s.BootstrapTokenHash, Metrics: m.handler, Publish: c.Publish, ReadTables: c.Read, Status: c.Status,
		MakePlan: func(t *fleet.Tables, id string, intent fleet.Intent) (fleet.Plan, error) {
			return plan.Make(t, id, intent, c.Costs)
		},
		TimeLine: c.TimeLine,
	}
}
