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

// Seed is a peer that the settings name.
type Seed struct {
	Entry, DataCentre, Address string
}

// Controller is the control side of one entry.
type Controller struct {
	// Self describes this entry.
	Self fleet.Entry
	// Seeds are peers to try before the tables name any.
	Seeds []Seed
	// FleetLog is the fleet log, Claims the claims log.
	FleetLog, ClaimsLog *feed.Log
	Platform    *provider.Client
	Mesh        *peer.Mesh
	Server      *serve.Server
	Registry        *claim.Registry
	Events      *event.Ring
	Costs       plan.Costs
	// PeerMeter and PlatformMeter count the bytes of the links and of the platform's services; may be nil.
	PeerMeter, PlatformMeter *meter.Meter
	// Tick is the pause between two runs of the systems; 250ms when 0.
	Tick time.Duration
	// CheckpointEvery is the time between two checkpoints; 5m when 0.
	CheckpointEvery time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is written early; 2000 when 0.
	CheckpointRecords int64
	// Clock returns the platform's time.
	Clock func() time.Time

	work chan func()
	// ctx is the context of Run; everything below belongs to the control goroutine.
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
	reach    reach
	// able are the entries that may do duties in this tick, by data centre; see ableIn.
	able  map[string][]string
	marks checkpointing
	// viewed says that the view in force was made from the tables as they are, with viewedWith.
	viewed     bool
	viewedWith membership
	// viewedAt is when the first view came into force, ready whether callers may come.
	viewedAt time.Time
	ready    bool
}

// Defaults of a Controller.
const (
	DefaultTick              = 250 * time.Millisecond
	DefaultCheckpointEvery   = 5 * time.Minute
	DefaultCheckpointRecords = 2000
)

// reach remembers whether the log answers, so that a change is one event.
type reach struct {
	log  bool
	said bool
}

// ErrStopped means that control has stopped.
var ErrStopped = errors.New("the entry is stopping; ask another entry")

// Init prepares the controller; it must be called before Run and before any other method.
func (c *Controller) Init() {
	c.work = make(chan func(), 256)
	c.writer.init(c)
	c.members.byEntry = make(map[string]*member)
	c.members.sent = make(map[string]map[string]sentStatus)
	c.able = make(map[string][]string)
	c.commands.init()
	c.tasks.init()
}

// Run works until the context ends and returns its error.
func (c *Controller) Run(ctx context.Context) error {
	c.ctx = ctx
	c.Events.Emit(event.EntryStarted, event.Subject{}, "data centre "+c.Self.DataCentre)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.follow(ctx) })
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
		case f := <-c.work:
			f()
		case <-ticker.C:
			c.tick()
		}
	}
}

// do runs f on the control goroutine and waits for it; after an error f has not run and will not.
func (c *Controller) do(ctx context.Context, f func()) error {
	var begun atomic.Bool
	done := make(chan struct{})
	err := c.post(ctx, func() {
		if begun.CompareAndSwap(false, true) {
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
		if begun.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		<-done // it is running
		return nil
	}
}

// post runs f on the control goroutine some time later.
func (c *Controller) post(ctx context.Context, f func()) error {
	select {
	case c.work <- f:
		return nil
	case <-ctx.Done():
		return errors.Join(ErrStopped, ctx.Err())
	}
}

// tick runs every system once.
func (c *Controller) tick() {
	now := time.Now()
	c.writer.forget(now)
	c.members.expire(now)
	clear(c.able)
	c.link()
	if c.tables != nil {
		c.observe()
		c.admitEntries()
		c.execute()
		c.runJobs()
		c.checkpoint(now)
		c.publish()
		c.becomeReady(now)
	}
	c.gossip(now)
}

// leads says whether this entry does the duty in this tick: a piece of work that one entry of the data centre does, or one
// of all when dataCentre is empty.
func (c *Controller) leads(duty, dataCentre string) bool {
	return !c.Server.Stopping() && route.Owner(duty, c.ableIn(dataCentre)) == c.Self.ID
}

// liveIn returns the live entries of the data centre, or those of all when it has none.
func (c *Controller) liveIn(dataCentre string) []string {
	if ids := c.members.in(c, dataCentre); len(ids) > 0 {
		return ids
	}
	return c.members.in(c, "")
}

// ableIn returns the live entries of the data centre that reach the log, or those of all when it is empty or has none.
func (c *Controller) ableIn(dataCentre string) []string {
	ids, known := c.able[dataCentre]
	if !known {
		ids = c.members.able(c, c.members.in(c, dataCentre))
		if len(ids) == 0 && dataCentre != "" {
			ids = c.ableIn("")
		}
		c.able[dataCentre] = ids
	}
	return ids
}

// ServeStream answers one stream of a peer; it is the Mesh's Serve.
func (c *Controller) ServeStream(ctx context.Context, from peer.Identity, open *peerpb.Open, s *peer.Stream) {
	switch kind := open.Kind.(type) {
	case *peerpb.Open_Relay:
		c.Server.ServeRelay(ctx, kind.Relay, s)
	case *peerpb.Open_Gossip:
		_ = c.post(ctx, func() { c.members.merge(kind.Gossip, from.Entry, time.Now()) }) // a lost one comes again
	case *peerpb.Open_CatchUp:
		c.serveCatchUp(ctx, kind.CatchUp, s)
	case *peerpb.Open_Events:
		c.serveEvents(kind.Events, s)
	}
}
