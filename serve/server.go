// SPDX-License-Identifier: MIT

package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"rackstep.dev/claim"
	"rackstep.dev/event"
	"rackstep.dev/peer"
	"rackstep.dev/route"
)

// Server runs the callers' requests of one entry.
type Server struct {
	// Self is the entry's name, DataCentre its place.
	Self, DataCentre string
	// Book makes claims.
	Book *claim.Registry
	// Mesh reaches the other entries.
	Mesh *peer.Mesh
	// Targets sends requests to targets.
	Targets *Dispatcher
	// Jobs passes callers' jobs to control; without Submit there is no jobs interface.
	Jobs Jobs
	// Boot tells two lives of the entry apart.
	Boot   string
	Events *event.Ring
	// OnStep is called before and after each step of a request; a fault switch of tests, nil in operation.
	OnStep func(step Step, after bool)
	// Metrics receives counters and timers; tally.NoopScope when nil.
	Metrics tally.Scope
	// Clock returns the platform's time; time.Now when nil.
	Clock func() time.Time
	// MaxBody bounds a caller's body in bytes; 1 MiB when 0.
	MaxBody int64

	handlers handlers
	view     atomic.Pointer[View]
	stopping atomic.Bool
	linked   atomic.Bool
	active   atomic.Int64 // requests of callers and peers that have begun and not ended
	attempts atomic.Uint64
	spares   spares
	tolds    sync.Map // told by toldKey

	mu    sync.Mutex
	gates map[string]*gate
}

// gate is a Gate with the retry budget of its service.
type gate struct {
	route.Gate
	retries route.RetryBudget
}

func (s *Server) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

func (s *Server) metrics() tally.Scope {
	if s.Metrics != nil {
		return s.Metrics
	}
	return tally.NoopScope
}

// View returns the view in force, nil before the first.
func (s *Server) View() *View { return s.view.Load() }

// SetView puts the view in force; when it returns, no new request is routed by an older one.
func (s *Server) SetView(v *View) {
	s.view.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates == nil {
		s.gates = make(map[string]*gate)
	}
	for name, svc := range v.Services {
		s.gate(name).Set(s.limits(svc), s.routable(svc))
	}
	for name, g := range s.gates {
		if v.Services[name] == nil {
			g.Set(route.Limits{}, nil)
		}
	}
}

// AdvanceView replaces the view by one that differs only in its offset.
func (s *Server) AdvanceView(v *View) { s.view.Store(v) }

func (s *Server) limits(svc *Service) route.Limits {
	return route.Limits{Slots: svc.Slots, Queue: svc.QueueLimit(), Moved: svc.Owner != "" && svc.Owner != s.Self}
}

// routable returns the targets that this entry may give requests to.
func (s *Server) routable(svc *Service) []route.Target {
	if svc.Owner != s.Self {
		return nil
	}
	return svc.Targets
}

// gate returns the service's gate; the caller holds mu.
func (s *Server) gate(service string) *gate {
	g := s.gates[service]
	if g == nil {
		g = &gate{}
		g.HealthChanged = s.targetChanged
		s.gates[service] = g
	}
	return g
}

func (s *Server) gateOf(service string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate(service)
}

func (s *Server) targetChanged(instance string, sick bool) {
	n := event.TargetRecovered
	if sick {
		n = event.TargetSick
	}
	s.Events.Emit(n, event.Subject{Instance: instance}, "")
}

// Held returns the requests in flight on instances that this entry no longer routes to, by instance.
func (s *Server) Held() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]int)
	for _, g := range s.gates {
		for id, n := range g.Held() {
			held[id] += n
		}
	}
	return held
}

// Load returns the requests in flight and waiting at this entry, and the slots that it may use.
func (s *Server) Load() (inFlight, waiting, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gates {
		f, w, n := g.Load()
		inFlight, waiting, slots = inFlight+f, waiting+w, slots+n
	}
	return inFlight, waiting, slots
}

// Ready says whether the balancer should send callers here.
func (s *Server) Ready() bool { return s.linked.Load() && s.View() != nil && !s.stopping.Load() }

// SetLinkAttempted says that the entry has tried to link to the other data centres.
func (s *Server) SetLinkAttempted() { s.linked.Store(true) }

// Stop begins a planned stop: the entry is no longer ready but serves on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Stopping says whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// drainLook is the time between two looks at what is in flight.
const drainLook = 10 * time.Millisecond

// Drain waits until no request is in flight or the context ends, and returns the context's error then.
func (s *Server) Drain(ctx context.Context) error {
	for s.active.Load() > 0 {
		if !sleep(ctx, drainLook) {
			return ctx.Err()
		}
	}
	return nil
}

// told counts the requests of one service that got one outcome.
type told struct {
	requests tally.Counter
	time     tally.Timer
}

type toldKey struct {
	service string
	outcome Outcome
}

// count records what a caller was told.
func (s *Server) count(req *request, outcome Outcome, since time.Time) {
	key := toldKey{req.Service.Name, outcome}
	t, ok := s.tolds.Load(key)
	if !ok {
		scope := s.metrics().Tagged(map[string]string{"service": key.service, "outcome": string(outcome)})
		t, _ = s.tolds.LoadOrStore(key, told{scope.Counter("requests"), scope.Timer("request_time")})
	}
	m := t.(told)
	m.requests.Inc(1)
	m.time.Record(s.now().Sub(since))
}

var _ http.Handler = (*Server)(nil)
