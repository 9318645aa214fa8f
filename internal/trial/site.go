// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"rackstep.dev/admin"
	"rackstep.dev/config"
	"rackstep.dev/entry"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/provider"
	"rackstep.dev/serve"
)

// Site is a running site: the stand-in platform, targets and entries.
type Site struct {
	Spec     Spec
	Platform *standin.Platform
	Targets  map[string]*standin.Target
	// Logger receives the entries' events; may be nil.
	Logger log.Logger

	url     string
	http    *http.Client
	work    sync.WaitGroup
	servers []*http.Server
	// transports lists the HTTP transports whose idle connections Stop closes.
	transports []*http.Transport

	mu      sync.Mutex
	entries map[string]*node
	cuts    map[[2]string]bool
}

// node is one running entry.
type node struct {
	entry  *entry.Entry
	centre string
	stop   context.CancelFunc
	done   chan struct{}
	// crashed reports that the context was cancelled to simulate a crash and not a planned stop.
	crashed atomic.Bool
}

// PlatformEndpoint names the platform in SetCut.
const PlatformEndpoint = "platform"

// Start starts a site without a configuration; Stop stops it.
func Start(spec Spec, logger log.Logger) (*Site, error) { return start(spec, logger, nil) }

// startWithProbe is Start with a probe that the stand-in platform runs before and after each call.
func startWithProbe(spec Spec, probe func(standin.Call, bool) bool) (*Site, error) {
	return start(spec, nil, probe)
}

func start(spec Spec, logger log.Logger, probe func(standin.Call, bool) bool) (*Site, error) {
	s := &Site{
		Spec: spec, Platform: standin.New(), Targets: make(map[string]*standin.Target), Logger: logger,
		entries: make(map[string]*node), cuts: make(map[[2]string]bool),
	}
	s.http = &http.Client{Transport: s.transport(), Timeout: 20 * time.Second}
	s.Platform.RebootTime = spec.RebootTime
	s.Platform.Intercept = probe
	ln, err := s.serve(s.Platform, nil)
	if err != nil {
		return nil, err
	}
	s.url = "http://" + ln
	if err := s.startInstances(); err != nil {
		s.Stop()
		return nil, err
	}
	for dc := range spec.DataCentres {
		for i := range spec.EntriesEach {
			if err := s.StartEntry(EntryName(dc, i), Centre(dc)); err != nil {
				s.Stop()
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *Site) listen(address string) (net.Listener, error) {
	if s.Spec.Network != nil {
		return s.Spec.Network.Listen(address)
	}
	return net.Listen("tcp", address)
}

func (s *Site) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if s.Spec.Network != nil {
		return s.Spec.Network.Dial
	}
	return nil
}

// transport returns a new HTTP transport; Stop closes its idle connections.
func (s *Site) transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: s.dial()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transports = append(s.transports, t)
	return t
}

// serve serves HTTP on a free loopback port and returns the address.
func (s *Site) serve(h http.Handler, srv *http.Server) (string, error) {
	ln, err := s.listen("127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	if srv == nil {
		srv = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	}
	s.servers = append(s.servers, srv)
	s.work.Go(func() { _ = srv.Serve(ln) }) // Serve returns an error once Stop closes the server
	return ln.Addr().String(), nil
}

func (s *Site) startInstances() error {
	for i := range s.Spec.Services {
		for j := range s.Spec.RunnersEach {
			t := &standin.Target{Instance: RunnerName(i, j)}
			address, err := s.serve(nil, t.Server())
			if err != nil {
				return err
			}
			s.Targets[t.Instance] = t
			s.addInstance(t.Instance, i*s.Spec.RunnersEach+j, address, t)
		}
	}
	for i := range s.Spec.Workers {
		s.addInstance(WorkerName(i), s.Spec.Services*s.Spec.RunnersEach+i, "127.0.0.1:9", nil)
	}
	return nil
}

// addInstance adds the n-th instance to the platform's list. Instances rotate over the data centres and fill one rack after
// another in each.
func (s *Site) addInstance(id string, n int, address string, t *standin.Target) {
	centre := Centre(n % s.Spec.DataCentres)
	rack := fmt.Sprintf("%s-rack-%d", centre, n/s.Spec.DataCentres/s.Spec.RackSize+1)
	s.Platform.Put(provider.Instance{ID: id, Role: provider.RoleWorker, DataCentre: centre, Rack: rack, Address: address,
		Cores: s.Spec.Cores, MemoryMB: s.Spec.MemoryMB}, t)
}

// StartEntry starts a new entry and adds it to the platform's list.
func (s *Site) StartEntry(name, centre string) error {
	const anyPort = "127.0.0.1:0"
	settings := config.Settings{
		Entry: name, DataCentre: centre, CallerAddress: anyPort, OperatorAddress: anyPort, PeerAddress: anyPort,
		Platform: s.url, PeerSecret: "trial-peer-secret", BootstrapTokenHash: serve.TokenHash(BootstrapToken),
		StopDelay: fleet.Duration(time.Second), Maintenance: fleet.Duration(s.Spec.RebootTime + 2*time.Second), Peers: s.peers(),
		CheckpointEvery: fleet.Duration(s.Spec.CheckpointEvery),
	}
	e, err := entry.New(settings, entry.Options{
		Logger:      s.Logger,
		Platform:    &partitionTransport{site: s, centre: centre, next: s.transport()},
		Listen:      s.listen,
		Dial:        s.dial(),
		OnStep:      s.probe(name),
		Partitioned: func(peer string) bool { return s.isCut(centre, s.centreOf(peer)) || s.isCut(name, peer) },
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{entry: e, centre: centre, stop: cancel, done: make(chan struct{})}
	s.mu.Lock()
	s.entries[name] = n
	s.mu.Unlock()
	s.Platform.Put(provider.Instance{ID: name, Role: provider.RoleEntry, DataCentre: centre, Boot: e.Self().Boot}, nil)
	s.work.Go(func() {
		defer close(n.done)
		_ = e.RunUntil(ctx, n.crashed.Load) // StopEntry or CrashEntry ends it
	})
	return nil
}

func (s *Site) probe(name string) func(serve.Step, bool) {
	if s.Spec.Probe == nil {
		return nil
	}
	return func(step serve.Step, after bool) { s.Spec.Probe(name, step, after) }
}

func (s *Site) peers() []config.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []config.Peer
	for name, n := range s.entries {
		peers = append(peers, config.Peer{Entry: name, DataCentre: n.centre, Address: n.entry.Self().PeerAddress})
	}
	return peers
}

// removeEntry removes the entry from the running ones and returns it, or nil if it isn't running.
func (s *Site) removeEntry(name string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.entries[name]
	delete(s.entries, name)
	return n
}

// StopEntry stops the entry gracefully and removes it from the platform's list.
func (s *Site) StopEntry(name string) {
	n := s.removeEntry(name)
	if n == nil {
		return
	}
	n.stop()
	<-n.done
	s.Platform.Delete(name)
}

// CrashEntry stops the entry abruptly; the platform still lists it.
func (s *Site) CrashEntry(name string) {
	n := s.removeEntry(name)
	if n == nil {
		return
	}
	n.crashed.Store(true)
	n.stop()
}

// Stop stops the entries, the platform and the targets.
func (s *Site) Stop() {
	var wg sync.WaitGroup
	s.mu.Lock()
	for name := range s.entries {
		wg.Go(func() { s.StopEntry(name) })
	}
	s.mu.Unlock()
	wg.Wait()
	for _, srv := range s.servers {
		_ = srv.Close() // nothing uses the listener any more
	}
	s.work.Wait()
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

func (s *Site) centreOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.entries[name]; n != nil {
		return n.centre
	}
	// The name of a stopped entry still identifies its data centre.
	for i := range s.Spec.DataCentres {
		if strings.HasPrefix(name, EntryName(i, 0)[:len(EntryName(i, 0))-1]) {
			return Centre(i)
		}
	}
	return ""
}

// SetCut cuts or restores the network between two data centres, two entries, or a data centre and PlatformEndpoint.
func (s *Site) SetCut(a, b string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{a, b}] = cut
	s.cuts[[2]string{b, a}] = cut
}

// Isolate cuts or restores the network between a data centre and both the platform and the other data centres.
func (s *Site) Isolate(centre string, cut bool) {
	s.SetCut(centre, PlatformEndpoint, cut)
	for i := range s.Spec.DataCentres {
		if other := Centre(i); other != centre {
			s.SetCut(centre, other, cut)
		}
	}
}

func (s *Site) isCut(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{a, b}]
}

// partitionTransport fails while a data centre is cut off from the platform.
type partitionTransport struct {
	site   *Site
	centre string
	next   http.RoundTripper
}

var errCut = errors.New("cut off from the platform")

// RoundTrip sends the request unless the data centre is cut off from the platform.
func (t *partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.site.isCut(t.centre, PlatformEndpoint) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errCut}
	}
	return t.next.RoundTrip(r)
}

// Callers returns the addresses at which entries that are ready accept callers.
func (s *Site) Callers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, n := range s.entries {
		if n.entry.Ready() {
			out = append(out, n.entry.Self().CallerAddress)
		}
	}
	return out
}

// CallerOf returns the address at which the entry accepts callers, or "" if it isn't running.
func (s *Site) CallerOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.entries[name]; n != nil {
		return n.entry.Self().CallerAddress
	}
	return ""
}

// Operator returns an operator's client of the first entry, by name, whose data centre can reach the platform.
func (s *Site) Operator(token string) *admin.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := ""
	for name, n := range s.entries {
		if (first == "" || name < first) && !s.cuts[[2]string{n.centre, PlatformEndpoint}] {
			first = name
		}
	}
	if first == "" {
		return &admin.Client{Token: token, HTTP: s.http}
	}
	return &admin.Client{Address: s.entries[first].entry.Self().OperatorAddress, Token: token, HTTP: s.http}
}

// OperatorOf returns an operator's client of the entry.
func (s *Site) OperatorOf(name, token string) *admin.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &admin.Client{Token: token, HTTP: s.http}
	if n := s.entries[name]; n != nil {
		c.Address = n.entry.Self().OperatorAddress
	}
	return c
}

// Publish publishes the first configuration and waits until every entry has applied it and every instance is serving.
func (s *Site) Publish(ctx context.Context) error {
	err := s.Await(ctx, func() bool {
		_, err := s.Operator(BootstrapToken).Apply(ctx, admin.ApplyRequest{ID: "first", Configuration: s.Spec.Configuration()})
		var problem *serve.Problem
		// The bootstrap token is rejected once a configuration is in force, as after a lost answer.
		return err == nil || (errors.As(err, &problem) && problem.Status == http.StatusUnauthorized)
	})
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	err = s.Await(ctx, func() bool { return s.converged(ctx) })
	s.Platform.DropListHistory()
	return err
}

func (s *Site) converged(ctx context.Context) bool {
	st, err := s.Operator(OperatorToken).Status(ctx)
	if err != nil || len(st.Entries) < s.Spec.DataCentres*s.Spec.EntriesEach {
		return false
	}
	for _, e := range st.Entries {
		if e.Version != st.Version || e.Offset < 0 {
			return false
		}
	}
	list, err := s.Operator(OperatorToken).Instances(ctx)
	if err != nil || len(list) < s.Spec.Services*s.Spec.RunnersEach+s.Spec.Workers {
		return false
	}
	for _, in := range list {
		if in.State != fleet.InstanceServing {
			return false
		}
	}
	return len(s.Callers()) == s.Spec.DataCentres*s.Spec.EntriesEach
}

// Await polls ok until it returns true or the context is done.
func (s *Site) Await(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("the site did not reach the expected state in time: %w", ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// AwaitPlan waits until the plan reaches the state.
func (s *Site) AwaitPlan(ctx context.Context, id string, state fleet.PlanState) error {
	return s.Await(ctx, func() bool {
		p, err := s.Operator(OperatorToken).GetPlan(ctx, id)
		return err == nil && p.State == state
	})
}
