// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// Bounds are what the deployment states; all of them are read from the settings.
type Bounds struct {
	// Lease is the longest time for which a worker goes on without a hold.
	Lease time.Duration
	// Stop is the longest time that stopping a run takes.
	Stop time.Duration
	// Status is how long the state of an ended job is to be told.
	Status time.Duration
	// Upkeep and Move are how long an instance is away for them.
	Upkeep, Move time.Duration
	// MaxAbsence is how long a lasting task may be away before it counts as missed.
	MaxAbsence time.Duration
	// MaxOverTarget is how long a serving task may be over its target because of what fills beside it.
	MaxOverTarget time.Duration
}

// Wave is a request to maintain instances.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time in which all are to have begun, Most how many may be away at once.
	Within time.Duration
	MaxAway   int
}

// MachineState is where an instance stands, by the machine interface.
type MachineState uint8

// States of an instance.
const (
	MachineUp MachineState = iota
	MachineMoving
	MachineInUpkeep
	MachineDown
)

// Machine is what the machine interface says of an instance.
type Machine struct {
	Name, Pool string
	// ID is that of its worker, empty when it has none.
	ID    string
	State MachineState
	// DataCentre is where it stands, for good.
	DataCentre string
	// Labels are its kind and its rack, which it keeps wherever it goes.
	Labels []string
}

// Machines is the machine interface, filled in by an adapter.
//
// Upkeep and Move return no error also when the same was done before; ErrBusy, ErrFenced and others say why not.
type Machines struct {
	// PerSecond is how many of the calls Upkeep and Move it takes in a second, over all entries; 0 for any.
	PerSecond float64
	List      func(ctx context.Context) ([]Machine, error)
	Upkeep    func(ctx context.Context, machine string, wave, fence int64) error
	Move      func(ctx context.Context, machine, pool string, fence int64) error
}

// Errors of the machine interface.
var (
	ErrTooMany = errors.New("the machine interface takes no more calls now and has done nothing; ask again in a moment")
	ErrBusy    = errors.New("instance is not up; ask again when it is")
	ErrFenced  = errors.New("another leader has used a higher fencing token; stop")
	ErrNotInWave    = errors.New("instance is not of that wave, or unknown")
)

// Ticket lets a worker's life run a step.
type Ticket struct {
	Life, Ticket string
	Until        time.Time
}

// Scheduler is the part of an entry that schedules while the entry leads.
//
// The exported fields are set before Run.
type Scheduler struct {
	Entry string
	// Intake are the partitions that hold what clients handed in; State holds what became of it.
	Intake []feed.Topic
	State  feed.Topic
	// Workers lists the live workers; Status takes what the operator reads.
	Workers feed.Topic
	// ParseWorker reads a record of Workers.
	ParseWorker func(life string, value []byte) (work.Worker, error)
	Calls       work.Calls
	Machines    Machines
	// Advise says which workers may run a step.
	Advise func(ctx context.Context, step string, lives []string) ([]Ticket, error)
	// PutWave writes a wave's state for the operator.
	PutWave func(ctx context.Context, wave int64, done bool) error
	Events  *event.Ring
	// MaxBatchBytes bounds the bytes of one batch to State; batchMost when 0.
	MaxBatchBytes int
	// MaxRecordBytes bounds the bytes of one record of State, its key included; a longer one is kept aside. No bound when 0.
	MaxRecordBytes int
	// Processor is the entry's share of a core, by which the asking of workers without work is spaced; it is not when 0.
	Processor float64
	// LinkPerSecond is what the entry's link carries, in bytes a second; no bound when 0.
	LinkPerSecond float64
	// Metrics receives counters and histograms; none when nil.
	Metrics tally.Scope
	// ConfirmedAt returns when the newest renewal that the store took was first sent; Lost is told of a higher fencing
	// token.
	ConfirmedAt func() time.Time
	Lost        func(fence int64)
	// HandOver gives up the term with the fence, so that another entry leads; never when nil.
	HandOver func(fence int64)
	// Clock is what all that proves or bounds something goes by; the steady clock when nil.
	Clock *clock.Clock
	// Waited returns how long goroutines waited for the processor since it was called last; the runtime's figure when nil.
	Waited func() time.Duration
	// PublishEarlierLeaders publishes whether a leader before this one may still give orders, and whether one may have ordered what
	// it could not keep.
	PublishEarlierLeaders func(open, coarse bool)
	// AnnounceUnstoredOrders publishes that this leader may order what it can't keep; LooseKept says whether the next will know.
	AnnounceUnstoredOrders  func(loose bool)
	UnstoredOrdersAnnounced func() bool

	catalog atomic.Pointer[job.Catalog]
	// organisations are those of the catalog's version.
	organisations atomic.Pointer[org.Directory]
	bounds        atomic.Pointer[Bounds]
	mu            sync.Mutex
	waves         map[int64]Wave
	drained       []string // the data centres that are drained
	current       *session
	counts        *metrics
}

// now returns the time by the suspensions that were noticed, exactNow by all: whatever is about to act on a proof asks the latter.
func (s *Scheduler) now() time.Time      { return s.Clock.Now() }
func (s *Scheduler) exactNow() time.Time { return s.Clock.Sure() }

// SetBounds puts bounds in force; it is called before Serve, and whenever they change.
func (s *Scheduler) SetBounds(b Bounds) { s.bounds.Store(&b) }

// Bounds returns the bounds in force.
func (s *Scheduler) Bounds() Bounds { return *s.bounds.Load() }

// SetCatalog puts a version of the configuration in force.
func (s *Scheduler) SetCatalog(c *job.Catalog) {
	s.catalog.Store(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.post(catalogChanged{c})
	}
}

// SetOrganisations puts the organisations of a version of the configuration in force; it is called before SetCatalog.
func (s *Scheduler) SetOrganisations(d *org.Directory) {
	s.organisations.Store(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.post(organisationsChanged{d})
	}
}

// SetWave takes a request for a wave of upkeep.
func (s *Scheduler) SetWave(w Wave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waves == nil {
		s.waves = make(map[int64]Wave)
	}
	s.waves[w.Number] = w
	if s.current != nil {
		s.current.post(waveRead{w})
	}
}

// ErrNotLeading means that this entry can't answer, because it does not schedule or has not read all yet.
var ErrNotLeading = errors.New("this entry does not schedule now; ask again in a moment")

// Ask returns what is known of a job, or of a queue.
func (s *Scheduler) Ask(ctx context.Context, q job.Query) (job.Answer, error) {
	s.mu.Lock()
	c := s.current
	s.mu.Unlock()
	if c == nil {
		return job.Answer{}, ErrNotLeading
	}
	reply := make(chan job.Answer, 1)
	c.post(question{Query: q, reply: reply})
	select {
	case a := <-reply:
		return a, nil
	case <-c.ended:
		return job.Answer{}, ErrNotLeading
	case <-ctx.Done():
		return job.Answer{}, fmt.Errorf("ask the scheduler: %w", ctx.Err())
	}
}

// lead makes the session the one that is told what the operator publishes. What came while it read its tables was told to nobody, so it is told
// now: without that a leader went by the configuration of before for as long as it led.
func (s *Scheduler) lead(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = c
	if d := s.organisations.Load(); d != c.ledger.Directory() {
		c.post(organisationsChanged{d})
	}
	if x := s.catalog.Load(); x != c.config {
		c.post(catalogChanged{x})
	}
	if !slices.Equal(s.drained, slices.Sorted(maps.Keys(c.drains))) {
		c.post(drainsChanged{s.drained})
	}
	for _, w := range s.waves {
		c.post(waveRead{w})
	}
}

// Serve schedules until the context ends; it is called once a term.
func (s *Scheduler) Serve(ctx context.Context, t lead.Term) {
	if s.counts == nil {
		s.counts = newMetrics(s.Metrics)
	}
	c := newSession(s, t)
	defer close(c.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer c.work.Wait()
	defer cancel()
	c.ctx = ctx // loading may stop runs of jobs that were cancelled
	if err := c.load(ctx); err != nil {
		return // the context has ended
	}
	s.lead(c)
	c.run(ctx)
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
}
