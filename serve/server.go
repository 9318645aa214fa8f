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
	"rackstep.dev/internal/limit"
	"rackstep.dev/peer"
	"rackstep.dev/route"
)

// Server handles the callers' requests of one entry.
type Server struct {
	// Self is the entry's name, DataCentre its data centre.
	Self, DataCentre string
	// Registry claims the keys of requests that are not repeatable.
	Registry *claim.Registry
	// Mesh connects to the other entries.
	Mesh *peer.Mesh
	// Targets sends requests to targets.
	Targets *Dispatcher
	// Jobs handles callers' jobs; there is no jobs interface when Jobs.Submit is nil.
	Jobs Jobs
	// Boot identifies this start of the entry's process.
	Boot   string
	Events *event.Ring
	// OnStep is called before and after each step of a request. Tests use it to inject faults; it is nil in production.
	OnStep func(step Step, after bool)
	// Metrics receives counters and timers; tally.NoopScope is used when nil.
	Metrics tally.Scope
	// Clock returns the platform's time; time.Now is used when nil.
	Clock func() time.Time
	// MaxBody is the maximum size of a request's body in bytes; 1 MiB when 0.
	MaxBody int64
	// Guard bounds the bodies of all requests; when nil, only each one is bounded.
	Guard *limit.Guard

	handlers  handlers
	view      atomic.Pointer[View]
	stopping  atomic.Bool
	linked    atomic.Bool
	active    atomic.Int64 // requests of callers and other entries that are in progress
	attempts  atomic.Uint64
	freeSlots freeSlotTable
	outcomes  sync.Map // outcomeMetrics by outcomeKey

	mu    sync.Mutex
	gates map[string]*gate
}

// gate is a service's Gate with the service's retry budget.
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

// View returns the current view, or nil before the first one is set.
func (s *Server) View() *View { return s.view.Load() }

// SetView replaces the view. Once it has returned, no new request is routed by an older view.
func (s *Server) SetView(v *View) {
	s.view.Store(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates == nil {
		s.gates = make(map[string]*gate)
	}
	for name, svc := range v.Services {
		s.gateLocked(name).Set(s.limits(svc), s.routable(svc))
	}
	for name, g := range s.gates {
		if v.Services[name] == nil {
			g.Set(route.Limits{}, nil)
		}
	}
}

// AdvanceView replaces the view by one that differs only in its offset, which leaves the gates unchanged.
func (s *Server) AdvanceView(v *View) { s.view.Store(v) }

func (s *Server) limits(svc *Service) route.Limits {
	return route.Limits{Slots: svc.Slots, Queue: svc.QueueLimit(), Moved: svc.Owner != "" && svc.Owner != s.Self}
}

// routable returns the targets to which this entry may dispatch requests, which are none unless it owns the service.
func (s *Server) routable(svc *Service) []route.Target {
	if svc.Owner != s.Self {
		return nil
	}
	return svc.Targets
}

// gateLocked returns the service's gate and creates it if needed. The caller must hold s.mu.
func (s *Server) gateLocked(service string) *gate {
	g := s.gates[service]
	if g == nil {
		g = &gate{}
		g.HealthChanged = s.emitTargetHealth
		s.gates[service] = g
	}
	return g
}

func (s *Server) gate(service string) *gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateLocked(service)
}

func (s *Server) emitTargetHealth(instance string, unhealthy bool) {
	number := event.TargetRecovered
	if unhealthy {
		number = event.TargetSick
	}
	s.Events.Emit(number, event.Subject{Instance: instance}, "")
}

// Held returns the number of requests in flight on each instance to which this entry no longer routes.
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

// Load returns the number of requests in flight and waiting at this entry, and the number of slots that it may use.
func (s *Server) Load() (inFlight, waiting, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gates {
		f, w, n := g.Load()
		inFlight, waiting, slots = inFlight+f, waiting+w, slots+n
	}
	return inFlight, waiting, slots
}

// Ready reports whether the load balancer should send callers to this entry.
func (s *Server) Ready() bool { return s.linked.Load() && s.View() != nil && !s.stopping.Load() }

// SetLinkAttempted records that the entry has tried to connect to the other data centres, without which it is not ready.
func (s *Server) SetLinkAttempted() { s.linked.Store(true) }

// Stop begins a planned stop: the entry is no longer ready but continues to serve requests.
func (s *Server) Stop() { s.stopping.Store(true) }

// Stopping reports whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// drainPollInterval is the interval at which Drain checks for requests in progress.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until no request is in progress. It returns the context's error when the context ends first.
func (s *Server) Drain(ctx context.Context) error {
	for s.active.Load() > 0 {
		if !sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// outcomeMetrics are the metrics of one service's requests with one outcome.
type outcomeMetrics struct {
	requests tally.Counter
	duration tally.Timer
}

type outcomeKey struct {
	service string
	outcome Outcome
}

// recordOutcome updates the metrics for a request that has ended with the outcome.
func (s *Server) recordOutcome(req *request, outcome Outcome, start time.Time) {
	key := outcomeKey{req.Service.Name, outcome}
	t, ok := s.outcomes.Load(key)
	if !ok {
		scope := s.metrics().Tagged(map[string]string{"service": key.service, "outcome": string(outcome)})
		t, _ = s.outcomes.LoadOrStore(key, outcomeMetrics{scope.Counter("requests"), scope.Timer("request_time")})
	}
	m := t.(outcomeMetrics)
	m.requests.Inc(1)
	m.duration.Record(s.now().Sub(start))
}

var _ http.Handler = (*Server)(nil)
