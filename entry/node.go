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
	"rackstep.dev/internal/limit"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/peer"
	"rackstep.dev/platform"
	"rackstep.dev/pool"
)

// Names of rackstep's topics in the platform's store.
const (
	leadTopic   = "lead"
	intakeTopic = "intake"
	stateTopic  = "state"
)

// maxIntakePartitions limits the number of the store's partitions that the intake topic uses.
//
// A partition handles one append at a time, so entries that share a partition wait for each other when the store is slow. With 4
// partitions, 147 entries and 0.1 s for an append, jobs were accepted after 2.5 s, by which time their clients had given up. Every
// partition costs the leader some more read calls.
const maxIntakePartitions = 24

// linkSecret is the shared secret of entries on the users' platform, whose settings contain none. It prevents accidental
// connections from other programs. It does not stop attackers, who can't reach the entries' ports there.
const linkSecret = "rackstep entries of one deployment"

// Node is an entry on the users' platform. It accepts clients' jobs, and schedules them while it is the leader.
type Node struct {
	Settings *platform.Settings
	// SettingsPath is the file from which Settings was loaded; it is reloaded when it changes.
	SettingsPath string
	// Reload triggers an immediate reload of the settings; optional.
	Reload <-chan os.Signal
	Events *event.Ring
	// MetricsAddress is the address at which metrics are served; they are not collected when it is empty.
	MetricsAddress string
	// LogDropped returns the number of dropped log lines; optional.
	LogDropped func() int64
	// Clock measures the age of leadership confirmations and how long clients have waited. The monotonic clock, which does not
	// advance while the machine is suspended, is used when nil; tests with a fake clock must not see real time.
	Clock *clock.Clock
	// ClientLimits replace those limits of clients' requests that are not 0; the others are derived from the settings.
	ClientLimits limit.Limits
	// Listen and Dial replace the real network, in tests with a fake clock.
	Listen func(address string) (net.Listener, error)
	Dial   platform.Dialer

	boot         string
	guard        *limit.Guard
	store        *platform.Store
	peers        peerTable
	metrics      metrics
	mesh         *peer.Mesh
	scheduler    *pool.Scheduler
	elector      *lead.Elector
	ingress      *platform.Ingress
	clientServer *http.Server
	follower     *platform.Follower
	traffic      platform.Traffic
}

// maxStoreSilence is the time without a reply from the store, direct or relayed, after which the entry reports that it is not ready.
//
// The entry can't accept jobs then, and the clients of a data centre that is cut off are directed to others. In simulated days with
// faults of three deployments (110 runs of one and 30 of each other, with and without it) this raised the score by 0.011 to 0.017.
const maxStoreSilence = 700 * time.Millisecond

// Times of a planned shutdown.
const (
	// unreadyNoticeTime is the time in which the platform notices that an entry is not ready. It checks every second and needs two
	// failed checks.
	unreadyNoticeTime = 2300 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 1200 * time.Millisecond
)

// Run serves until the context ends and then shuts down gracefully. It returns an error when the entry could not be set up or one
// of its components has failed.
func (n *Node) Run(ctx context.Context) error {
	n.boot = rand.Text()
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if listeners.metrics != nil {
		n.metrics = newMetrics()
	}
	n.guard = newGuard(n.clientLimits(), n.metrics.scope, n.Events, n.Settings.Entry)
	listeners.bound(n.guard)
	n.assemble(listeners.peers)
	componentsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	end := make(chan struct{})
	g.Add(func() error { return waitStop(ctx, end, n.stop) }, func(error) { close(end) })
	for _, component := range [...]func(context.Context) error{n.mesh.Run, n.elector.Run, n.follower.Run, n.watchSettings, n.reportDroppedLogs, n.reportTraffic, n.reportToLeader} {
		ctx, cancel := context.WithCancel(componentsCtx)
		g.Add(func() error { return component(ctx) }, func(error) { cancel() })
	}
	n.clientServer = n.guard.Server(n.ingress)
	addServer(&g, n.clientServer, listeners.clients, end)
	addServer(&g, n.guard.Server(http.HandlerFunc(n.serveReadiness)), listeners.readiness, end)
	if listeners.metrics != nil {
		addServer(&g, n.guard.Server(n.metrics.handler), listeners.metrics, end)
		defer func() { _ = n.metrics.closer.Close() }() // only the last metrics are lost on an error
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

// nodeListeners are a node's listening sockets; metrics is nil when there is no metrics address or it can't be opened.
type nodeListeners struct{ clients, readiness, peers, metrics net.Listener }

// bound makes the guard bound the connections of all listeners.
func (l *nodeListeners) bound(g *limit.Guard) {
	l.clients, l.readiness = g.Listener(l.clients, g.Limits.Connections), g.Listener(l.readiness, g.Limits.ReadinessConnections)
	l.peers = g.PeerListener(l.peers)
	if l.metrics != nil {
		l.metrics = g.Listener(l.metrics, g.Limits.MetricsConnections)
	}
}

func (n *Node) listen() (nodeListeners, error) {
	var l nodeListeners
	clientIdle := n.clientLimits().WriteIdle
	for _, x := range [...]struct {
		into    *net.Listener
		address string
		// unread is how long the other side may read nothing before the kernel ends the connection.
		unread time.Duration
	}{
		{&l.clients, n.Settings.Listen.Clients, clientIdle}, {&l.readiness, n.Settings.Listen.Ready, clientIdle},
		{&l.peers, net.JoinHostPort(n.Settings.IP, strconv.Itoa(n.Settings.Ports[0])), alive.Unacknowledged},
	} {
		ln, err := n.open(x.address, x.unread)
		if err != nil {
			return l, fmt.Errorf("listen: %w; free the address or set another", err)
		}
		*x.into = ln
	}
	if n.MetricsAddress == "" {
		return l, nil
	}
	ln, err := n.open(n.MetricsAddress, clientIdle)
	if err != nil {
		n.Events.Emit(event.EntryStarted, event.Subject{Entry: n.Settings.Entry}, "no metrics: "+err.Error())
		return l, nil
	}
	l.metrics = ln
	return l, nil
}

// open opens an address.
func (n *Node) open(address string, unread time.Duration) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(address)
	}
	return alive.Listen(address, unread)
}

// clientLimits returns the limits of clients' requests.
func (n *Node) clientLimits() limit.Limits {
	return n.ClientLimits.Or(limit.For(n.Settings.Limits.MemoryMB, n.Settings.Limits.MaxFiles))
}

// assemble creates the node's components and connects them.
func (n *Node) assemble(peers net.Listener) {
	s := n.Settings
	store := platform.NewStore(s, n.Dial)
	store.Relay, store.Traffic = n.relay, &n.traffic
	n.store = store
	workers := &platform.Workers{Dial: n.Dial, Traffic: &n.traffic, MaxConnections: maxWorkerConnections(s)}
	machines := platform.NewMachines(s, n.Dial)
	machines.Traffic = &n.traffic
	intakes := make([]feed.Topic, max(1, min(maxIntakePartitions, s.Store.Partitions)))
	for i := range intakes {
		intakes[i] = store.ProductTopic(intakeTopic, i)
	}
	n.mesh = &peer.Mesh{
		Self: peer.Identity{Entry: peers.Addr().String(), DataCentre: s.DataCentre, Boot: n.boot}, Secret: []byte(linkSecret),
		Listener: peers, Dial: n.Dial, Events: n.Events, Serve: n.serveStream,
		Authenticated: limit.Hold,
	}
	if n.Clock != nil {
		n.Clock.OnResume = n.onResume
	}
	n.scheduler = &pool.Scheduler{
		Clock: n.Clock,
		Entry: s.Entry, Intake: intakes, State: store.ProductTopic(stateTopic, 0), Workers: store.WorkersTopic(),
		ParseWorker: platform.ParseWorker, Calls: workers.Calls(), Machines: machines.Calls(),
		PutWave: platform.WaveStatusWriter(store.StatusTopic()), Events: n.Events,
		MaxBatchBytes:  s.Store.MaxCallBytes / 2, // leaves a wide margin to the store's limit for a call
		MaxRecordBytes: s.Store.MaxRecordBytes,
		Capacity:       leadCapacity(s), LinkBytes: n.traffic.Total, CPUTime: processCPUTime, MemoryInUse: processMemory,
		Processor: processorShare(s), LinkPerSecond: s.Limits.LinkMbps * bytesPerMegabit,
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
		Weight: processorShare(s), Serve: n.serveTerm, OnRecord: n.followLeader, Capacity: leadCapacity(s),
		Eligible: func() bool { return n.ingress.Ready() },
	}
	n.scheduler.ConfirmedAt, n.scheduler.Lost, n.scheduler.HandOver = n.elector.ConfirmedAt, n.elector.StepDown, n.elector.HandOver
	n.scheduler.Require, n.scheduler.Successor, n.scheduler.HandOverTo = n.elector.SetRequirement, n.elector.Successor, n.handOverTo
	n.scheduler.AnnounceUnstoredOrders, n.scheduler.UnstoredOrdersAnnounced, n.scheduler.PublishEarlierLeaders = n.elector.SetUnstored, n.elector.UnstoredPublished, n.elector.SetPredecessors
	n.ingress = &platform.Ingress{Guard: n.guard, Room: n.leaderHasRoom, Intake: &intake.Intake{Writer: &intake.Writer{Clock: n.Clock, Topic: intakes[intakePartition(s.Entry, len(intakes))]}, Query: n.queryJob, Events: n.Events}}
	n.follower = &platform.Follower{Topic: store.OperatorTopic(), Events: n.Events, Clock: n.Clock, ApplyDeadline: platform.Millis(s.Bounds.ApplyMillis), Wave: n.scheduler.SetWave, Drains: n.scheduler.SetDrains, Config: func(c *platform.Config) {
		n.ingress.SetConfig(c)
		n.scheduler.SetOrganisations(c.Organisations)
		n.scheduler.SetCatalog(&c.Catalog)
	}}
	n.ingress.ConfigAge, n.ingress.RequireKeys = n.follower.Age, s.KeysRequired()
	n.ingress.SetStalenessLimits(patienceOf(s.Bounds))
}

// patienceOf returns how long an entry that can't read the configuration relies on the one that it has.
func patienceOf(b platform.Bounds) org.StalenessLimits {
	apply := platform.Millis(b.ApplyMillis)
	if apply == 0 {
		return org.StalenessLimits{} // the settings contain no limit
	}
	return org.StalenessLimits{Unknown: apply, Known: apply + platform.Millis(b.SkewMillis)}
}

// onResume reports that the machine was suspended and has resumed. What the entry learned before the suspension is outdated and
// must be confirmed again before it is relied on; Clock accounts for that by including the suspended time.
func (n *Node) onResume(suspended time.Duration) {
	n.Events.Emit(event.MachineWoke, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("suspended for %v", suspended.Round(time.Millisecond)))
	if n.metrics.scope != nil {
		n.metrics.scope.Counter("suspended_milliseconds").Inc(suspended.Milliseconds())
	}
}

// Division of an entry's file descriptors.
const (
	// reservedFiles is the number of descriptors reserved for files. workerFileShare is the fraction of the others that is used for
	// connections to workers; the rest is for clients, peers and the platform.
	reservedFiles   = 200
	workerFileShare = 0.7
)

// maxWorkerConnections returns the maximum number of open connections to workers, or 0 when the settings contain no limit.
func maxWorkerConnections(s *platform.Settings) int {
	return int(workerFileShare * float64(max(s.Limits.MaxFiles-reservedFiles, 0)))
}

// intakePartition returns the partition of the intake topic to which the entry appends, by the hash of the entry's name.
func intakePartition(entry string, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry)) // hash.Hash never returns an error
	return int(h.Sum32() % uint32(partitions))
}

// serveReadiness answers the platform's readiness checks.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ingress.Ready() || n.elector.UnansweredFor() > maxStoreSilence {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop shuts down gracefully: the node reports that it is not ready, so that clients stop connecting to it, then it completes the
// requests in progress.
func (n *Node) stop() {
	n.Events.Emit(event.EntryStopping, event.Subject{Entry: n.Settings.Entry}, "")
	n.ingress.Stop()
	n.elector.Resign()
	time.Sleep(unreadyNoticeTime)
	left := platform.Seconds(n.Settings.Bounds.GraceSeconds) - unreadyNoticeTime - exitMargin
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	_ = n.clientServer.Shutdown(ctx) // requests that are not complete by then exceed the grace period
}
