// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/pool"
	"rackstep.dev/work"
)

// Figures of the model's platform; those that have a bound of the users' interface are as the tightest deployment states.
const (
	modelLease   = 6 * time.Second
	modelStop    = 900 * time.Millisecond
	modelNotice  = 4500 * time.Millisecond
	modelAway    = 1500 * time.Millisecond
	modelBeat    = 1500 * time.Millisecond
	modelRoom    = 4000
	modelTask    = 1000
	modelFails   = 3
	modelWarm    = 300 * time.Millisecond
	modelHeldUp  = 500 * time.Millisecond
	modelContact = 5 * time.Second
	modelCancel  = 5 * time.Second
	// modelDown is how long an instance is away after a crash.
	modelDown = 3 * time.Second
	// modelCrashes is how many lives may end under a task that crashes them, modelMore how many starts break the budget after that.
	modelCrashes = 3
	modelMore    = 3
	slowest      = 0.98
	modelStore   = "store"
	modelControl = "machines"
)

// world is everything around the leaders: links, the store, workers, the machine interface. Its oracle knows only what
// workers ran.
type world struct {
	mu       sync.Mutex
	r        *rand.Rand
	ctx      context.Context
	topics   map[string]*topic
	zones    map[string]string
	cuts     []cut
	frozen   map[string]time.Time
	naps     map[string]*naps
	since    time.Time // when the world began
	killed   map[string]bool
	lives    map[string]*life
	machines map[string]*machine
	asked    map[string]*job.Spec
	byTask   map[string][]*ran
	waves    map[int64]int
	cancels  map[string]time.Time
	wrong    []string
	steps    int
	born     int
	// answersAgain says that the store answers a batch that it has taken before it looks at the writer's epoch.
	answersAgain bool
	// storeDown ends an outage of the store; storeLoses is the share of its answers that are lost.
	storeDown  time.Time
	storeLoses float64
	// spoils says whether the next entry of a life in the list is cut short; none is when nil.
	spoils func(l *life) bool
	// crashers are the tasks that crash their worker, and how long after their start; the instance is back after modelDown.
	crashers map[string]time.Duration
	// outOfTouch is when an entry last began, stood still, or got no answer from the store: time-bounded rules spare it for a while.
	outOfTouch map[string]time.Time
	// room is what an instance holds; unguarded ones take whatever they are told.
	room      int
	unguarded bool
	// longest is what a task takes at the most, beyond 200 ms.
	longest time.Duration
	// reborn is the share of new lives that bear the ID that their instance had; lives tell their births then, and a birth may be before the one of the life before.
	reborn float64
	// lateShare is the share of orders that workers carry out late and do not answer.
	lateShare float64
	events    *event.Ring
	// caps are what organisations may have running, in tasks, by the configurations so far; no job has one when there are none.
	caps []modelCaps
	// drains are when data centres were drained that are so still, drainedNow their names as entries are told them.
	drains     map[string]time.Time
	drainedNow []string
	// debug traces what happens; nil when nothing does.
	debug func(text string, args ...any)
	// waveRequests are what the operator has asked for.
	waveRequests []pool.Wave
}

// cut separates two sets of parties; nothing passes until it ends.
type cut struct {
	inside func(party string) bool
	until  time.Time
	// in and out say which directions are closed; resets that what is on its way is lost and new calls fail at once.
	in, out, resets bool
}

// machine is an instance; it has one life at a time.
type machine struct {
	name, pool, zone string
	life             *life
	fence            int64
	busy             bool
	// bore is the ID of its latest life, which its next one may bear if that crashes.
	bore     string
	wave     map[int64]bool
	upkeepOf int64
}

// life is one life of a worker, with its own clock.
type life struct {
	name     string
	machine  *machine
	pool     string
	world    *world
	birth    work.Birth
	began    time.Time
	rate     float64
	dead     bool
	fence    int64
	deadline int64
	lapse    *time.Timer
	runs     []*ran
	lastEnd  int64
	acked    int64
	ended    chan struct{}
	stopped  map[string]int64
	beatAt   time.Time
	listed   bool
	// left says that the entry of the life before it stands in the list.
	left bool
	// less is by how much its room has shrunk, shown what the list tells of that since shownAt, and before what it told until then.
	less, shown, before int
	shownAt             time.Time
}

// ran is one run of a task.
type ran struct {
	task     string
	number   int64
	life     *life
	from, to time.Time
	how      string
	n        int64
	acked    bool
	// overtaken says that the worker's lease lapsed after the end and before it was acknowledged: the end then counts for
	// nothing, for good.
	overtaken bool
	// planned says that an order ends it, stopping that the order is being carried out.
	planned, stopping bool
	// crashed says that the run has crashed its life, inTouch that its starter was in touch.
	crashed, inTouch bool
	timer            *time.Timer
}

func newWorld(ctx context.Context, r *rand.Rand, zones, workers int, reborn float64) *world {
	w := &world{
		r: r, ctx: ctx, topics: make(map[string]*topic), zones: make(map[string]string), frozen: make(map[string]time.Time), naps: make(map[string]*naps), outOfTouch: make(map[string]time.Time), since: time.Now(),
		killed: make(map[string]bool), lives: make(map[string]*life), machines: make(map[string]*machine), asked: make(map[string]*job.Spec),
		room: modelRoom, reborn: reborn, longest: 2500 * time.Millisecond, byTask: make(map[string][]*ran), waves: make(map[int64]int), crashers: make(map[string]time.Duration), cancels: make(map[string]time.Time), drains: make(map[string]time.Time), events: new(event.Ring),
	}
	for i := range zones * workers {
		m := &machine{name: fmt.Sprintf("m%02d", i), pool: fmt.Sprint("p", i%2), zone: fmt.Sprint("z", i%zones), wave: make(map[int64]bool)}
		w.machines[m.name] = m
		w.live(m)
	}
	for i := range zones {
		m := &machine{name: fmt.Sprintf("off%d", i), pool: "off", zone: fmt.Sprint("z", i), wave: make(map[int64]bool)}
		w.machines[m.name] = m
	}
	go w.beat()
	return w
}

func (w *world) chance(p float64) bool { return p > 0 && w.r.Float64() < p }

func (w *world) fail(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%8s ", time.Duration(time.Now().UnixMilli()%1e6)*time.Millisecond)+fmt.Sprintf(format, args...))
}

// live gives an instance a new life; the lock is held.
func (w *world) live(m *machine) {
	if m.pool == "off" {
		m.life = nil
		return
	}
	w.born++
	name := fmt.Sprintf("i-%04d", w.born)
	before := w.lives[m.bore]
	if before != nil && w.chance(w.reborn) {
		name = m.bore
	}
	l := &life{
		name: name, machine: m, pool: m.pool, world: w, began: time.Now(), rate: slowest + 0.025*w.r.Float64(),
		ended: make(chan struct{}), stopped: make(map[string]int64),
	}
	if w.reborn > 0 {
		l.birth = w.birth()
	}
	if before != nil && before.name == name {
		l.left, l.beatAt = before.listed || before.left, before.beatAt
	}
	m.life, m.bore = l, name
	w.lives[l.name] = l
	w.zones[l.name] = m.zone
}

// birth returns a birth that no life has had; the time of day jumps by up to an hour either way.
func (w *world) birth() work.Birth {
	jump := time.Duration(w.r.Int64N(int64(2*time.Hour))) - time.Hour
	return work.Birth(time.Now().Add(jump).UnixMilli()/1000*1000 + int64(w.born))
}

// beat has every life that reaches the store listed there, and drops those that are silent.
func (w *world) beat() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		now := time.Now()
		for _, l := range w.lives {
			_, closed := w.closed(l.name, modelStore)
			switch {
			case now.Before(w.storeDown):
			case !l.dead && !closed && (!l.listed || now.Sub(l.beatAt) >= modelBeat):
				b, _ := json.Marshal(map[string]string{"machine": l.machine.name, "pool": l.pool, "zone": l.machine.zone, "room": strconv.Itoa(w.room - l.less), "birth": strconv.FormatInt(int64(l.birth), 10)})
				if w.spoils != nil && w.spoils(l) {
					b = b[:len(b)/2]
				}
				l.listed, l.left, l.beatAt = true, false, now
				l.show(now)
				w.topic("servers").add(feed.KeyedRecord{Key: l.name, Value: b})
			case (l.listed || l.left) && now.Sub(l.beatAt) > 3*modelBeat:
				l.listed, l.left = false, false
				w.topic("servers").add(feed.KeyedRecord{Key: l.name})
			}
		}
		w.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

func parseWorker(name string, value []byte) (work.Worker, error) {
	var x map[string]string
	if err := json.Unmarshal(value, &x); err != nil {
		return work.Worker{}, err
	}
	room, err := strconv.Atoi(x["room"])
	if err != nil {
		return work.Worker{}, err
	}
	born, err := strconv.ParseInt(x["birth"], 10, 64)
	if err != nil {
		return work.Worker{}, err
	}
	return work.Worker{
		Life: name, ID: name, Birth: work.Birth(born), Machine: x["machine"], Pool: x["pool"], DataCentre: x["zone"], Address: name,
		Capacity: job.Need{MilliCPU: room, MemoryMB: room},
	}, nil
}

// Errors of the model's links.
var (
	errLost   = errors.New("no answer")
	errUnsent = errors.New("not sent")
)

// closed returns until when the link is closed, and whether its cut resets.
func (w *world) closed(from, to string) (cut, bool) {
	now := time.Now()
	for _, c := range w.cuts {
		a, b := c.inside(from), c.inside(to)
		if now.Before(c.until) && a != b && ((a && c.out) || (b && c.in)) {
			return c, true
		}
	}
	return cut{}, false
}

// pass waits until a message has gone from one party to the other; it says whether it arrived.
func (w *world) pass(from, to string) bool {
	for {
		w.mu.Lock()
		c, closed := w.closed(from, to)
		delay := time.Duration(500+w.r.IntN(3500)) * time.Microsecond
		w.mu.Unlock()
		switch {
		case !closed:
			time.Sleep(delay)
			return true
		case c.resets:
			return false
		}
		time.Sleep(time.Until(c.until))
	}
}

// thaw waits while the party is frozen.
func (w *world) thaw(party string) {
	for {
		w.mu.Lock()
		until, killed := w.frozen[party], w.killed[party]
		if time.Now().Before(until) {
			w.outOfTouch[party] = until
		}
		w.mu.Unlock()
		if d := time.Until(until); d > 0 && !killed {
			time.Sleep(d)
			continue
		}
		return
	}
}

// call makes a call; what was sent may be carried out long after the caller has given up.
func (w *world) call(ctx context.Context, from, to string, late, loses float64, exec func(heldUp, late bool)) error {
	w.thaw(from)
	w.mu.Lock()
	w.steps++
	killed := w.killed[from]
	isLate, isLost, dropped := w.chance(late), w.chance(loses), w.chance(0.5)
	after := time.Duration(w.r.IntN(4000)) * time.Millisecond
	w.mu.Unlock()
	if killed {
		return errUnsent
	}
	sent := time.Now()
	done := make(chan error, 1)
	var gone sync.Once
	abandoned := make(chan struct{})
	go func() {
		if !w.pass(from, to) {
			done <- errUnsent
			return
		}
		if isLate {
			time.Sleep(after)
		}
		select {
		case <-abandoned:
			if dropped {
				return
			}
		default:
		}
		exec(time.Since(sent) > modelHeldUp, isLate)
		if !isLate && !isLost && w.pass(to, from) {
			done <- nil
		}
	}()
	limit := 5 * time.Second
	if d, ok := ctx.Deadline(); ok {
		limit = time.Until(d)
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	var err error
	select {
	case err = <-done:
	case <-t.C:
		gone.Do(func() { close(abandoned) })
		err = errLost
	}
	w.thaw(from)
	return err
}

// entry is one process that takes part in the election and may lead.
type entry struct {
	name      string
	elector   *lead.Elector
	scheduler *pool.Scheduler
	cancel    context.CancelFunc
	ended     chan struct{}
}

// start runs an entry in its zone.
func (w *world) start(name, zone string, boot int) *entry {
	w.mu.Lock()
	w.zones[name], w.killed[name] = zone, false
	w.outOfTouch[name] = time.Now()
	w.mu.Unlock()
	machine := w.clockOf(name)
	ctx, cancel := context.WithCancel(w.ctx)
	e := &entry{name: name, cancel: cancel, ended: make(chan struct{})}
	s := &pool.Scheduler{
		Entry: name, Intake: []feed.Topic{w.of(name, "intake")}, State: w.of(name, "state"), Workers: w.of(name, "servers"),
		ParseWorker: parseWorker, Calls: w.calls(name), Machines: w.control(name), Events: w.events, Clock: machine,
		PutWave: func(ctx context.Context, wave int64, done bool) error { return nil },
	}
	s.SetBounds(pool.Bounds{Lease: modelLease, Stop: modelStop, Status: 10 * time.Minute, Upkeep: modelAway, Move: modelAway, MaxAbsence: modelNotice, MaxOverTarget: 4 * time.Second})
	s.SetCatalog(&job.Catalog{
		Version: 1,
		Queues:  map[string]job.Queue{"q0": {Name: "q0", Pool: "p0", Attempts: modelFails, Stretch: 2, Target: time.Second}, "q1": {Name: "q1", Pool: "p1", Attempts: modelFails, Stretch: 2, Target: time.Second}},
		Pools:   map[string]job.Pool{"p0": {Name: "p0"}, "p1": {Name: "p1"}, "off": {Name: "off", Headroom: true}},
	})
	w.mu.Lock()
	if len(w.caps) > 0 {
		s.SetOrganisations(w.caps[len(w.caps)-1].directory)
	}
	s.SetDrains(w.drainedNow)
	w.mu.Unlock()
	e.elector = &lead.Elector{Entry: name, Address: name, Boot: fmt.Sprint(boot), Topic: w.of(name, "lead"), Weight: 1, Events: w.events, Serve: s.Serve, Clock: machine}
	e.scheduler = s
	wire(s, e.elector)
	w.mu.Lock()
	waves := slices.Clone(w.waveRequests)
	w.mu.Unlock()
	for _, x := range waves {
		s.SetWave(x)
	}
	go func() {
		defer close(e.ended)
		_ = e.elector.Run(ctx)
	}()
	return e
}

// kill ends the process as a crash does: nothing more leaves it.
func (w *world) kill(e *entry) {
	w.mu.Lock()
	w.killed[e.name] = true
	w.mu.Unlock()
	e.cancel()
	<-e.ended
}
