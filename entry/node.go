// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/oklog/run"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/intake"
	"rackstep.dev/internal/alive"
	"rackstep.dev/internal/clock"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/peer"
	"rackstep.dev/platform"
	"rackstep.dev/pool"
)

// Topics of the product on the platform's store.
const (
	leadTopic   = "lead"
	intakeTopic = "intake"
	stateTopic  = "state"
)

// intakeParts is how many partitions the intake has at the most, of those that the store has: a partition takes one append
// after the other, so that entries wait for each other when the store is slow. With 4 for 147 entries and a store that took
// 0.1 s for an append jobs were taken after 2.5 s, past what their clients waited; each reads some calls more for the leader.
const intakeParts = 24

// linkSecret is what entries prove to each other on the users' platform, whose settings give no secret: it keeps
// strangers' mistakes out, not attackers, who can't reach the entries' ports there.
const linkSecret = "rackstep entries of one deployment"

// Node is an entry on the users' platform: it takes clients' jobs, and schedules them while it leads.
type Node struct {
	Settings *platform.Settings
	// SettingsPath is the file that Settings came from; it is read again when it changes.
	SettingsPath string
	// Reload asks for that at once; never when nil.
	Reload <-chan os.Signal
	Events *event.Ring
	// MetricsAddress is where counters and histograms are served as text; nowhere when empty.
	MetricsAddress string
	// LogDropped returns how many log lines were dropped; none when nil.
	LogDropped func() int64
	// Clock is what proofs and clients' times go by; the steady clock, which no suspension moves, when nil: a test on fake time must not hear of
	// the real time that passes.
	Clock *clock.Clock
	// Listen and Dial replace the network's; for tests on fake time.
	Listen func(address string) (net.Listener, error)
	Dial   platform.Dialer

	boot      string
	store     *platform.Store
	peers     peerTable
	metrics   metrics
	mesh      *peer.Mesh
	scheduler *pool.Scheduler
	elector   *lead.Elector
	ingress   *platform.Ingress
	clients   *http.Server
	follower  *platform.Follower
	traffic   platform.Traffic
}

// unreadyAfter is how long the store must not have answered, on any way, for the entry to call itself not ready: it can
// take no jobs then, and clients of a data centre that is cut off are led to others. That earned 0.011 to 0.017 of a day's worth
// on three deployments (110 plays of one and 30 of each other, each way, of days with trouble).
const unreadyAfter = 700 * time.Millisecond

// Times of a planned stop.
const (
	// readyMissed is how long the platform takes to notice that an entry is not ready: it asks each second, twice.
	readyMissed = 2300 * time.Millisecond
	// stopMargin is left of the grace for the process's own end.
	stopMargin = 1200 * time.Millisecond
)

// Run serves until the context ends, then stops as planned; an error means that the entry could not be set up.
func (n *Node) Run(ctx context.Context) error {
	n.boot = rand.Text()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if listeners.metrics != nil {
		n.metrics = newMetrics()
	}
	n.assemble(listeners.peers)
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	end := make(chan struct{})
	g.Add(func() error { return waitStop(ctx, end, n.stop) }, func(error) { close(end) })
	for _, part := range [...]func(context.Context) error{n.mesh.Run, n.elector.Run, n.follower.Run, n.watchSettings, n.countDropped, n.tellTraffic} {
		ctx, cancel := context.WithCancel(parts)
		g.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	n.clients = newHTTPServer(n.ingress)
	addServer(&g, n.clients, listeners.clients, end)
	addServer(&g, newHTTPServer(http.HandlerFunc(n.ready)), listeners.ready, end)
	if listeners.metrics != nil {
		addServer(&g, newHTTPServer(n.metrics.handler), listeners.metrics, end)
		defer func() { _ = n.metrics.closer.Close() }() // what is lost are the last figures
	}
	n.Events.Emit(event.EntryStarted, event.Subject{Entry: n.Settings.Entry}, "data centre "+n.Settings.DataCentre)
	err = g.Run()
	n.store.Close()
	n.Events.Emit(event.EntryStopped, event.Subject{Entry: n.Settings.Entry}, "")
	if errors.Is(err, errStopped) {
		return nil
	}
	return fmt.Errorf("entry %s: %w", n.Settings.Entry, err)
}

// nodeListeners are a node's open addresses; metrics is nil when its address is taken.
type nodeListeners struct{ clients, ready, peers, metrics net.Listener }

func (n *Node) listen() (nodeListeners, error) {
	var l nodeListeners
	if n.Listen == nil {
		n.Listen = alive.Listen
	}
	for _, x := range [...]struct {
		into    *net.Listener
		address string
	}{
		{&l.clients, n.Settings.Listen.Clients}, {&l.ready, n.Settings.Listen.Ready},
		{&l.peers, net.JoinHostPort(n.Settings.IP, strconv.Itoa(n.Settings.Ports[0]))},
	} {
		ln, err := n.Listen(x.address)
		if err != nil {
			return l, fmt.Errorf("listen: %w; free the address or set another", err)
		}
		*x.into = ln
	}
	if n.MetricsAddress == "" {
		return l, nil
	}
	ln, err := n.Listen(n.MetricsAddress)
	if err != nil {
		n.Events.Emit(event.EntryStarted, event.Subject{Entry: n.Settings.Entry}, "no metrics: "+err.Error())
		return l, nil
	}
	l.metrics = ln
	return l, nil
}

// assemble puts the parts together.
func (n *Node) assemble(peers net.Listener) {
	s := n.Settings
	store := platform.NewStore(s, n.Dial)
	store.Relay, store.Traffic = n.relay, &n.traffic
	n.store = store
	workers := &platform.Workers{Dial: n.Dial, Traffic: &n.traffic, MaxConnections: workerConnections(s)}
	machines := platform.NewMachines(s, n.Dial)
	machines.Traffic = &n.traffic
	intakes := make([]feed.Topic, max(1, min(intakeParts, s.Store.Partitions)))
	for i := range intakes {
		intakes[i] = store.ProductTopic(intakeTopic, i)
	}
	n.mesh = &peer.Mesh{
		Self: peer.Identity{Entry: peers.Addr().String(), DataCentre: s.DataCentre, Boot: n.boot}, Secret: []byte(linkSecret),
		Listener: peers, Dial: n.Dial, Events: n.Events, Serve: n.serveStream,
	}
	if n.Clock != nil {
		n.Clock.Woke = n.woke
	}
	n.scheduler = &pool.Scheduler{
		Clock: n.Clock,
		Entry: s.Entry, Intake: intakes, State: store.ProductTopic(stateTopic, 0), Workers: store.WorkersTopic(),
		ParseWorker: platform.ParseWorker, Calls: workers.Calls(), Machines: machines.Calls(),
		PutWave: platform.WaveStatusWriter(store.StatusTopic()), Events: n.Events,
		MaxBatchBytes:  s.Store.MaxCallBytes / 2, // far under what the store takes in one call
		MaxRecordBytes: s.Store.MaxRecordBytes,
		Processor:  s.Limits.Share * max(s.Limits.Cores, 1), LinkPerSecond: s.Limits.LinkMbps * bytesOfMbit,
	}
	n.scheduler.SetBounds(boundsOf(s))
	if n.metrics.scope != nil {
		n.scheduler.Metrics = n.metrics.scope
	}
	if _, err := netip.ParseAddrPort(s.Advice); err == nil {
		n.scheduler.Advise = platform.NewAdvice(s, n.Dial).Ask
	}
	n.elector = &lead.Elector{
		Clock: n.Clock,
		Entry: s.Entry, Address: peers.Addr().String(), Boot: n.boot, Topic: store.ProductTopic(leadTopic, 0), Events: n.Events,
		Weight: s.Limits.Share * max(s.Limits.Cores, 1), Serve: n.scheduler.Serve, OnRecord: n.followLeader,
		Eligible: func() bool { return n.ingress.Ready() },
	}
	n.scheduler.ConfirmedAt, n.scheduler.Lost, n.scheduler.HandOver = n.elector.ConfirmedAt, n.elector.StepDown, n.elector.HandOver
	n.scheduler.AnnounceUnstoredOrders, n.scheduler.UnstoredOrdersAnnounced, n.scheduler.PublishEarlierLeaders = n.elector.SetUnstored, n.elector.UnstoredPublished, n.elector.SetPredecessors
	n.ingress = &platform.Ingress{Intake: &intake.Intake{Writer: &intake.Writer{Clock: n.Clock, Topic: intakes[partOf(s.Entry, len(intakes))]}, Query: n.ask, Events: n.Events}}
	n.follower = &platform.Follower{Topic: store.OperatorTopic(), Events: n.Events, Clock: n.Clock, ApplyDeadline: platform.Millis(s.Bounds.ApplyMillis), Wave: n.scheduler.SetWave, Drains: n.scheduler.SetDrains, Config: func(c *platform.Config) {
		n.ingress.SetConfig(c)
		n.scheduler.SetOrganisations(c.Organisations)
		n.scheduler.SetCatalog(&c.Catalog)
	}}
	n.ingress.ConfigAge, n.ingress.RequireKeys = n.follower.Age, s.KeysRequired()
	n.ingress.SetStalenessLimits(patienceOf(s.Bounds))
}

// patienceOf returns how long an entry that can't read the configuration goes by what it has.
func patienceOf(b platform.Bounds) org.StalenessLimits {
	apply := platform.Millis(b.ApplyMillis)
	if apply == 0 {
		return org.StalenessLimits{} // the deployment states no bound
	}
	return org.StalenessLimits{Unknown: apply, Known: apply + platform.Millis(b.SkewMillis)}
}

// woke tells that the machine was suspended: all that was learned before proves nothing until it is learned again.
func (n *Node) woke(slept time.Duration) {
	n.Events.Emit(event.MachineWoke, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("suspended for %v", slept.Round(time.Millisecond)))
	if n.metrics.scope != nil {
		n.metrics.scope.Counter("suspended_milliseconds").Inc(slept.Milliseconds())
	}
}

// Figures of the connections to workers.
const (
	// filesKept of an entry's descriptors are for files, workersShare of the others for connections to workers: the rest is for clients, peers
	// and the platform.
	filesKept    = 200
	workersShare = 0.7
)

// workerConnections returns how many connections to workers an entry may have open, 0 if the settings state no bound.
func workerConnections(s *platform.Settings) int {
	return int(workersShare * float64(max(s.Limits.MaxFiles-filesKept, 0)))
}

// partOf spreads entries over the partitions of the intake.
func partOf(entry string, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry)) // it never fails, says its documentation
	return int(h.Sum32() % uint32(parts))
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.ingress.Ready() || n.elector.UnansweredFor() > unreadyAfter {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop finishes what clients have begun: first no new connections, then no more requests.
func (n *Node) stop() {
	n.Events.Emit(event.EntryStopping, event.Subject{Entry: n.Settings.Entry}, "")
	n.ingress.Stop()
	n.elector.Resign()
	time.Sleep(readyMissed)
	left := platform.Seconds(n.Settings.Bounds.GraceSeconds) - readyMissed - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	_ = n.clients.Shutdown(ctx) // what is still open then has no time left
}
