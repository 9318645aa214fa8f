// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"rackstep.dev/claim"
	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/meter"
	"rackstep.dev/peer"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/plan"
	"rackstep.dev/provider"
	"rackstep.dev/route"
	"rackstep.dev/serve"
)

// Seed is a peer that is named in the settings.
type Seed struct {
	Entry, DataCentre, Address string
}

// Controller runs the control loops of one entry.
type Controller struct {
	// Self describes this entry.
	Self fleet.Entry
	// Seeds are the peers to contact before the tables are known.
	Seeds []Seed
	// FleetLog is the fleet log, Claims the claims log.
	FleetLog, ClaimsLog *feed.Log
	Platform            *provider.Client
	Mesh                *peer.Mesh
	Server              *serve.Server
	Registry            *claim.Registry
	Events              *event.Ring
	Costs               plan.Costs
	// PeerMeter and PlatformMeter count the bytes exchanged with peers and with the platform's services; may be nil.
	PeerMeter, PlatformMeter *meter.Meter
	// Tick is the time between two runs of the control loops; DefaultTick when 0.
	Tick time.Duration
	// CheckpointEvery is the time between two checkpoints; DefaultCheckpointEvery when 0.
	CheckpointEvery time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is written early; DefaultCheckpointRecords when 0.
	CheckpointRecords int64
	// Clock returns the platform's time.
	Clock func() time.Time

	calls chan func()
	// ctx is the context of Run. The fields below it are used on the control goroutine only.
	ctx      context.Context
	tables   *fleet.Tables
	boot     bootstrap
	tail     tail
	writer   writer
	members  members
	list     listing
	commands commands
	tasks    tasks
	jobs     jobIndex
	logState logState
	// reachingLog caches the results of reachingLogIn for one tick, by data centre.
	reachingLog     map[string][]string
	checkpointState checkpointState
	// viewCurrent reports that no record that affects traffic was applied since the view was built; viewMembership is the
	// membership from which it was built.
	viewCurrent    bool
	viewMembership membership
	// firstViewAt is when the first view was published; ready reports that the entry accepts callers.
	firstViewAt time.Time
	ready       bool
}

// Defaults of a Controller.
const (
	DefaultTick              = 250 * time.Millisecond
	DefaultCheckpointEvery   = 5 * time.Minute
	DefaultCheckpointRecords = 2000
)

// logState is whether the fleet log is reachable, and whether that has been reported by an event.
type logState struct {
	reachable bool
	reported  bool
}

// ErrStopped is returned after the Controller has stopped.
var ErrStopped = errors.New("the entry is stopping; ask another entry")

// Init initialises the Controller; it must be called before any other method.
func (c *Controller) Init() {
	c.calls = make(chan func(), 256)
	c.writer.init(c)
	c.members.byEntry = make(map[string]*member)
	c.members.sent = make(map[string]map[string]sentStatus)
	c.reachingLog = make(map[string][]string)
	c.commands.init()
	c.tasks.init()
}

// Run runs the control loops until the context ends and returns the context's error.
func (c *Controller) Run(ctx context.Context) error {
	c.ctx = ctx
	c.Events.Emit(event.EntryStarted, event.Subject{}, "data centre "+c.Self.DataCentre)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.followFleetLog(ctx) })
	group.Go(func() { c.followClaims(ctx) })
	group.Go(func() { c.followList(ctx) })
	group.Go(func() { c.writer.run(ctx) })
	return c.loop(ctx)
}

func (c *Controller) loop(ctx context.Context) error {
	period := c.Tick
	if period == 0 {
		period = DefaultTick
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-c.calls:
			f()
		case <-ticker.C:
			c.tick()
		}
	}
}

// do runs f on the control goroutine and waits for its end. After an error, f has not run and will not run.
func (c *Controller) do(ctx context.Context, f func()) error {
	var started atomic.Bool
	done := make(chan struct{})
	err := c.post(ctx, func() {
		if started.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		if started.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		<-done // f is already running
		return nil
	}
}

// post queues f to run on the control goroutine.
func (c *Controller) post(ctx context.Context, f func()) error {
	select {
	case c.calls <- f:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrStopped, ctx.Err())
	}
}

// tick runs every control loop once.
func (c *Controller) tick() {
	now := time.Now()
	c.writer.expire(now)
	c.members.expire(now)
	clear(c.reachingLog)
	c.updateLinks()
	if c.tables != nil {
		c.observe()
		c.reconcileEntries()
		c.execute()
		c.runJobs()
		c.checkpoint(now)
		c.publish()
		c.becomeReady(now)
	}
	c.gossip(now)
}

// ownsDuty reports whether this entry does the duty in this tick. A duty is done by one entry of the data centre, or by one of
// all entries when dataCentre is empty.
func (c *Controller) ownsDuty(duty, dataCentre string) bool {
	return !c.Server.Stopping() && route.Owner(duty, c.reachingLogIn(dataCentre)) == c.Self.ID
}

// liveIn returns the live entries of the data centre, or all live entries when it has none.
func (c *Controller) liveIn(dataCentre string) []string {
	if ids := c.members.liveIn(c, dataCentre); len(ids) > 0 {
		return ids
	}
	return c.members.liveIn(c, "")
}

// reachingLogIn returns the live entries of the data centre that reach the log, or those of all data centres when dataCentre is
// empty or has none.
func (c *Controller) reachingLogIn(dataCentre string) []string {
	ids, known := c.reachingLog[dataCentre]
	if !known {
		ids = c.members.reachingLog(c, c.members.liveIn(c, dataCentre))
		if len(ids) == 0 && dataCentre != "" {
			ids = c.reachingLogIn("")
		}
		c.reachingLog[dataCentre] = ids
	}
	return ids
}

// ServeStream serves one stream that a peer opened; it is used as the Mesh's Serve function.
func (c *Controller) ServeStream(ctx context.Context, from peer.Identity, open *peerpb.Open, s *peer.Stream) {
	switch kind := open.Kind.(type) {
	case *peerpb.Open_Relay:
		c.Server.ServeRelay(ctx, kind.Relay, s)
	case *peerpb.Open_Gossip:
		_ = c.post(ctx, func() { c.members.merge(kind.Gossip, from.Entry, time.Now()) }) // a lost status is sent again
	case *peerpb.Open_CatchUp:
		c.serveCatchUp(ctx, kind.CatchUp, s)
	case *peerpb.Open_Events:
		c.serveEvents(kind.Events, s)
	}
}
