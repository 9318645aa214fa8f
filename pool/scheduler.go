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

// Bounds holds the time limits of the deployment, as read from the settings.
type Bounds struct {
	// Lease is the longest time for which a worker goes on running tasks without a hold.
	Lease time.Duration
	// Stop is the longest time that stopping a run takes.
	Stop time.Duration
	// Status is how long clients can ask for the state of an ended job.
	Status time.Duration
	// Maintenance and Move are how long an instance is unavailable during each.
	Maintenance, Move time.Duration
	// MaxAbsence is how long a lasting task may be down before it counts as missed.
	MaxAbsence time.Duration
	// MaxOverTarget is how long a serving task may exceed its latency target because of filling tasks on the same
	// worker.
	MaxOverTarget time.Duration
}

// Wave is a request for maintenance of a set of instances.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time in which all maintenance must begin; MaxAway is how many instances may be unavailable at once.
	Within  time.Duration
	MaxAway int
}

// MachineState is the state of an instance according to the machine interface.
type MachineState uint8

// States of an instance.
const (
	MachineUp MachineState = iota
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// Machine describes an instance as listed by the machine interface.
type Machine struct {
	Name, Pool string
	// ID is the ID of its worker, or empty if it has none.
	ID    string
	State MachineState
	// DataCentre is the location of the instance. It never changes.
	DataCentre string
	// Labels are the kind and the rack of the instance. They stay the same when it moves between pools.
	Labels []string
}

// Machines is the machine interface, implemented by an adapter.
//
// Maintenance and Move are idempotent: they return nil if the same call was carried out before. Otherwise ErrBusy,
// ErrFenced and other errors tell why nothing was done.
type Machines struct {
	// PerSecond is the rate limit of Maintenance and Move calls, over all entries; 0 means no limit.
	PerSecond   float64
	List        func(ctx context.Context) ([]Machine, error)
	Maintenance func(ctx context.Context, machine string, wave, fence int64) error
	Move        func(ctx context.Context, machine, pool string, fence int64) error
}

// Errors of the machine interface.
var (
	ErrTooMany   = errors.New("the machine interface refused the call because of its rate limit, nothing was done; retry in a moment")
	ErrBusy      = errors.New("instance is not up; retry when it is")
	ErrFenced    = errors.New("another leader has used a higher fencing token")
	ErrNotInWave = errors.New("instance is unknown or not part of the wave")
)

// Ticket permits one incarnation of a worker to run a step.
type Ticket struct {
	Incarnation, Ticket string
	Until               time.Time
}

// Scheduler is the part of an entry that schedules tasks while the entry leads.
//
// The exported fields must be set before Serve is called.
type Scheduler struct {
	Entry string
	// Intake are the partitions with the submitted jobs and cancellations; State is the topic with the scheduler's
	// own state.
	Intake []feed.Topic
	State  feed.Topic
	// Workers is the topic that lists the live workers.
	Workers feed.Topic
	// ParseWorker decodes a record of Workers.
	ParseWorker func(incarnation string, value []byte) (work.Worker, error)
	Calls       work.Calls
	Machines    Machines
	// Advise asks which workers may run a step.
	Advise func(ctx context.Context, step string, incarnations []string) ([]Ticket, error)
	// PutWave writes a wave's state for the operator.
	PutWave func(ctx context.Context, wave int64, done bool) error
	Events  *event.Ring
	// MaxBatchBytes limits the size of a batch appended to State. The default is batchMax.
	MaxBatchBytes int
	// MaxRecordBytes limits the size of a record of State, including its key. Longer records are set aside. 0 means
	// no limit.
	MaxRecordBytes int
	// Processor is the entry's share of a core. It determines how often workers without work are polled; 0 means no
	// limit.
	Processor float64
	// LinkPerSecond is the bandwidth of the entry's link in bytes per second; 0 means no limit.
	LinkPerSecond float64
	// Metrics receives counters and histograms. It may be nil.
	Metrics tally.Scope
	// ConfirmedAt returns the time at which the latest renewal accepted by the store was first sent. Lost is called
	// when a higher fencing token has been seen.
	ConfirmedAt func() time.Time
	Lost        func(fence int64)
	// HandOver gives up the term with the given fencing token, so that another entry takes the lead. If nil, the lead
	// is never handed over.
	HandOver func(fence int64)
	// Successor returns an entry that is fitter to lead by enough for a handover; HandOverTo gives up the term with the
	// given fencing token in its favour. Without them, the lead is not handed over for lack of capacity.
	Successor  func() (lead.Candidate, bool)
	HandOverTo func(fence int64, to lead.Candidate)
	// Require receives what leading requires, as the leader measures it. LinkBytes and CPUTime return the totals that this
	// process has used so far, MemoryInUse what it uses now; nil where that is not known.
	Require     func(lead.Capacity)
	LinkBytes   func() int64
	CPUTime     func() time.Duration
	MemoryInUse func() int64
	// Capacity is what this entry has for leading, for the log.
	Capacity lead.Capacity
	// Clock is used for everything that proves or limits something. The default is the steady clock.
	Clock *clock.Clock
	// CPUWait returns how long goroutines waited for a processor since its previous call. The default is the figure
	// of the Go runtime.
	CPUWait func() time.Duration
	// PublishEarlierLeaders publishes whether a leader before this one may still give orders, and whether one may
	// have ordered runs that it could not store.
	PublishEarlierLeaders func(open, coarse bool)
	// AnnounceUnstoredOrders publishes that this leader may order runs that it can't store. UnstoredOrdersAnnounced
	// reports whether the next leader is certain to read that.
	AnnounceUnstoredOrders  func(loose bool)
	UnstoredOrdersAnnounced func() bool

	catalog atomic.Pointer[job.Catalog]
	// removedQueues are those that catalog does not have any more, as this entry has read them. It is guarded by mu.
	removedQueues job.RemovedQueues
	// organisations belongs to the same configuration version as catalog.
	organisations atomic.Pointer[org.Directory]
	bounds        atomic.Pointer[Bounds]
	mu            sync.Mutex
	waves         map[int64]waveRequested
	drained       []string // the drained data centres
	current       *session
	counts        *metrics
}

// now returns the time adjusted for the suspensions noticed so far; exactNow checks for a suspension first. Code that
// is about to act on a proof must use exactNow.
func (s *Scheduler) now() time.Time      { return s.Clock.Now() }
func (s *Scheduler) exactNow() time.Time { return s.Clock.ExactNow() }

// SetBounds puts bounds in force. It must be called before Serve, and again whenever they change.
func (s *Scheduler) SetBounds(b Bounds) { s.bounds.Store(&b) }

// Bounds returns the bounds in force.
func (s *Scheduler) Bounds() Bounds { return *s.bounds.Load() }

// SetCatalog puts a version of the configuration in force.
func (s *Scheduler) SetCatalog(c *job.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removedQueues = s.removedQueues.After(s.catalog.Load(), c)
	s.catalog.Store(c)
	if s.current != nil {
		s.current.post(catalogChanged{c})
	}
}

// SetOrganisations puts the organisations of a configuration version in force. It must be called before SetCatalog.
func (s *Scheduler) SetOrganisations(d *org.Directory) {
	s.organisations.Store(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.post(organisationsChanged{d})
	}
}

// SetWave adds or replaces a maintenance wave.
func (s *Scheduler) SetWave(w Wave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waves == nil {
		s.waves = make(map[int64]waveRequested)
	}
	m := waveRequested{wave: w, learned: s.now()}
	if earlier, ok := s.waves[w.Number]; ok {
		m.learned = earlier.learned
	}
	s.waves[w.Number] = m
	if s.current != nil {
		s.current.post(m)
	}
}

// ErrNotLeading means that this entry can't answer, because it is not the leader or has not read its tables yet.
var ErrNotLeading = errors.New("this entry does not schedule now; ask again in a moment")

// Ask returns the state of a job, or the number of pending jobs of a queue.
func (s *Scheduler) Ask(ctx context.Context, q job.Query) (job.Answer, error) {
	s.mu.Lock()
	c := s.current
	s.mu.Unlock()
	if c == nil {
		return job.Answer{}, ErrNotLeading
	}
	reply := make(chan job.Answer, 1)
	c.post(jobQuestion{Query: q, reply: reply})
	select {
	case a := <-reply:
		return a, nil
	case <-c.ended:
		return job.Answer{}, ErrNotLeading
	case <-ctx.Done():
		return job.Answer{}, fmt.Errorf("ask the scheduler: %w", ctx.Err())
	}
}

// setCurrent makes c the session that receives changes of the operator's configuration. It also posts the changes
// that arrived while the session read its tables and that no session received; otherwise the leader would use the old
// configuration for its whole term.
func (s *Scheduler) setCurrent(c *session) {
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
	for _, m := range s.waves {
		c.post(m)
	}
}

// Serve schedules until the context ends. It is called once per term.
func (s *Scheduler) Serve(ctx context.Context, t lead.Term) {
	if s.counts == nil {
		s.counts = newMetrics(s.Metrics)
	}
	c := newSession(s, t)
	defer close(c.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer c.background.Wait()
	defer cancel()
	c.ctx = ctx // loading may stop runs of cancelled jobs
	if err := c.load(ctx); err != nil {
		return // the context has ended
	}
	s.setCurrent(c)
	c.run(ctx)
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
}
