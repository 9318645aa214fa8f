// SPDX-License-Identifier: MIT

package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"rackstep.dev/event"
	"rackstep.dev/internal/alive"
	"rackstep.dev/internal/meter"
	"rackstep.dev/peer/peerpb"
)

// ErrNoLink means that there is no usable link to the peer and nothing was sent.
var ErrNoLink = errors.New("no link to the peer; nothing was sent")

// Address is the name of a peer and the address on which it listens.
type Address struct {
	Entry string
	// Address is an IP address and a port.
	Address string
}

// Identity is the authenticated identity of an entry.
type Identity struct {
	Entry, DataCentre, Boot string
}

// Mesh maintains the links between one entry and its peers.
type Mesh struct {
	Self Identity
	// Secret is the shared secret of all entries of a site.
	Secret []byte
	// TLS encrypts incoming and outgoing links; nil disables TLS.
	TLS *tls.Config
	// Listener accepts links from peers.
	Listener net.Listener
	// Serve handles one conversation that a peer opened. After it returns, the stream is reused for the next conversation or closed.
	Serve func(ctx context.Context, from Identity, open *peerpb.Open, s *Stream)
	// Dial opens a connection; nil uses the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Partitioned reports whether communication with the entry is blocked. Tests use it to inject faults; it is nil in operation.
	Partitioned func(entry string) bool
	// Authenticated is called with an accepted connection whose peer has proved that it knows the secret; may be nil.
	Authenticated func(accepted net.Conn)
	// Events receives an event when a link goes up or down.
	Events *event.Ring
	// Meter counts the bytes on all links; may be nil.
	Meter *meter.Meter

	mu      sync.Mutex
	links   map[string]*link
	closing bool
	work    sync.WaitGroup
}

type link struct {
	address  Address
	cancel   context.CancelFunc
	session  *yamux.Session // nil while disconnected
	refusals int            // consecutive connection attempts refused by the peer's host
	idle     []*Stream      // streams of the session without a conversation
}

// maxIdleStreams limits the idle streams that a link keeps for reuse.
const maxIdleStreams = 16

// Timeouts and limits of links.
const (
	dialTimeout      = time.Second
	redialPause      = 300 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	// maxRefusals is the number of consecutive refused connections after which the peer's process counts as exited.
	maxRefusals = 3
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 10 * time.Second
	c.ConnectionWriteTimeout = 3 * time.Second
	c.StreamOpenTimeout = 3 * time.Second
	c.StreamCloseTimeout = 3 * time.Second
	c.AcceptBacklog = 1024
	return c
}

// Run accepts links until ctx is done, then closes all links and returns the context's error.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.Listener.Close() })
	defer stop()
	for {
		conn, err := m.Listener.Accept()
		if err != nil {
			m.shutdown()
			return errors.Join(ctx.Err(), ignoreClosed(err))
		}
		m.work.Go(func() { m.serveConn(ctx, conn) })
	}
}

// ignoreClosed returns nil if the listener was closed, and wraps any other error of Accept.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("accept peer connections: %w", err)
}

func (m *Mesh) shutdown() {
	m.mu.Lock()
	m.closing = true
	for _, l := range m.links {
		l.cancel()
	}
	m.mu.Unlock()
	m.work.Wait()
}

// serveConn authenticates an accepted connection and serves its streams until it ends.
func (m *Mesh) serveConn(ctx context.Context, accepted net.Conn) {
	conn := m.Meter.Conn(accepted)
	defer conn.Close()
	raw := conn
	defer context.AfterFunc(ctx, func() { _ = raw.Close() })() // a pending handshake must not delay shutdown
	if m.TLS != nil {
		conn = tls.Server(conn, m.TLS)
	}
	from, err := m.handshake(conn, false)
	if err != nil || m.isPartitioned(from.Entry) {
		return
	}
	if m.Authenticated != nil {
		m.Authenticated(accepted)
	}
	session, err := yamux.Server(&frameConn{Conn: conn}, sessionConfig())
	if err != nil {
		return
	}
	defer session.Close()
	m.serveSession(ctx, from, session)
}

func (m *Mesh) serveSession(ctx context.Context, from Identity, session *yamux.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = session.Close() })()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			cancel()
			return
		}
		streams.Go(func() { m.serveStream(ctx, from, conn) })
	}
}

// serveStream serves consecutive conversations until the stream ends.
func (m *Mesh) serveStream(ctx context.Context, from Identity, conn net.Conn) {
	s := newStream(conn)
	s.bind(ctx)
	defer s.Close()
	open := new(peerpb.Open)
	if s.Receive(open) != nil {
		return
	}
	for open != nil && !m.isPartitioned(from.Entry) {
		open = m.serveConversation(ctx, from, open, s)
	}
}

// serveConversation serves one conversation and returns the opening message of the next one, or nil at the end of the stream.
//
// The peer sends nothing more until it has the complete response. Whatever arrives meanwhile is therefore the next opening message or
// the end of the stream, which cancels the conversation.
func (m *Mesh) serveConversation(ctx context.Context, from Identity, open *peerpb.Open, s *Stream) *peerpb.Open {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan *peerpb.Open, 1)
	go func() {
		o := new(peerpb.Open)
		if s.Receive(o) != nil {
			cancel()
			o = nil
		}
		next <- o
	}()
	m.Serve(ctx, from, open, s)
	return <-next
}

func (m *Mesh) isPartitioned(entry string) bool { return m.Partitioned != nil && m.Partitioned(entry) }

// SetPeers sets the peers to maintain links to. Links to other peers are closed.
func (m *Mesh) SetPeers(ctx context.Context, peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return
	}
	if m.links == nil {
		m.links = make(map[string]*link)
	}
	wanted := make(map[string]Address, len(peers))
	for _, p := range peers {
		if p.Entry != m.Self.Entry {
			wanted[p.Entry] = p
		}
	}
	for entry, l := range m.links {
		if wanted[entry] != l.address {
			l.cancel()
			delete(m.links, entry)
		}
	}
	for entry, a := range wanted {
		if m.links[entry] == nil {
			m.startLink(ctx, a)
		}
	}
}

// startLink maintains a link to the peer in a new goroutine until ctx is done. m.mu must be held.
func (m *Mesh) startLink(ctx context.Context, a Address) {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{address: a, cancel: cancel}
	m.links[a.Entry] = l
	m.work.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			m.maintainLink(ctx, l)
			select {
			case <-ctx.Done():
			case <-time.After(redialPause):
			}
		}
	})
}

// maintainLink connects to the peer and returns when the connection ends.
func (m *Mesh) maintainLink(ctx context.Context, l *link) {
	session, err := m.connect(ctx, l.address)
	m.countRefusals(l, err)
	if err != nil {
		return
	}
	defer session.Close()
	m.setSession(l, session)
	m.Events.Emit(event.PeerUp, event.Subject{Entry: l.address.Entry}, "")
	select {
	case <-ctx.Done():
	case <-session.CloseChan():
	}
	m.setSession(l, nil)
	m.Events.Emit(event.PeerDown, event.Subject{Entry: l.address.Entry}, "")
}

// countRefusals counts consecutive refused connections; any other result resets the count.
func (m *Mesh) countRefusals(l *link, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.refusals++
		return
	}
	l.refusals = 0
}

// ExitedPeers returns the peers whose hosts repeatedly refused connections, sorted by name. Their processes have most likely exited.
func (m *Mesh) ExitedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []string
	for entry, l := range m.links {
		if l.refusals >= maxRefusals {
			gone = append(gone, entry)
		}
	}
	slices.Sort(gone)
	return gone
}

func (m *Mesh) setSession(l *link, s *yamux.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.session = s
	l.idle = nil
}

func (m *Mesh) connect(ctx context.Context, a Address) (*yamux.Session, error) {
	if m.isPartitioned(a.Entry) {
		return nil, ErrNoLink
	}
	dial := m.Dial
	if dial == nil {
		dial = alive.Dialer(dialTimeout).DialContext
	}
	conn, err := dial(ctx, "tcp", a.Address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", a.Entry, err)
	}
	raw := conn
	defer context.AfterFunc(ctx, func() { _ = raw.Close() })()
	conn = m.Meter.Conn(conn)
	if m.TLS != nil {
		conn = tls.Client(conn, m.clientTLS(a.Address))
	}
	if _, err := m.handshake(conn, true); err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := yamux.Client(&frameConn{Conn: conn}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("link to %s: %w", a.Entry, err)
	}
	return session, nil
}

// clientTLS returns a TLS configuration that verifies the peer's certificate against the dialled IP address.
func (m *Mesh) clientTLS(address string) *tls.Config {
	c := m.TLS.Clone()
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		c.ServerName = host
	}
	return c
}

// ConnectedPeers returns the peers with an open outgoing link, sorted by name.
func (m *Mesh) ConnectedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up []string
	for entry, l := range m.links {
		if l.session != nil && !m.isPartitioned(entry) {
			up = append(up, entry)
		}
	}
	slices.Sort(up)
	return up
}

// Open starts a conversation with the peer and sends its opening message. ErrNoLink means that nothing was sent.
func (m *Mesh) Open(ctx context.Context, entry string, open *peerpb.Open) (*Stream, error) {
	s, err := m.stream(entry)
	if err != nil {
		return nil, err
	}
	s.bind(ctx)
	if err := s.Send(open); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// stream returns an idle stream to the peer, or a new one.
func (m *Mesh) stream(entry string) (*Stream, error) {
	m.mu.Lock()
	l := m.links[entry]
	if l == nil || l.session == nil || m.isPartitioned(entry) {
		m.mu.Unlock()
		return nil, ErrNoLink
	}
	if n := len(l.idle); n > 0 {
		s := l.idle[n-1]
		l.idle = l.idle[:n-1]
		m.mu.Unlock()
		return s, nil
	}
	session := l.session
	m.mu.Unlock()
	conn, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoLink, err)
	}
	s := newStream(conn)
	s.recycle = func(s *Stream) { m.keepIdle(l, session, s) }
	return s, nil
}

// keepIdle keeps a stream for reuse if its session is still the link's current one. Otherwise it closes the stream.
func (m *Mesh) keepIdle(l *link, session *yamux.Session, s *Stream) {
	m.mu.Lock()
	ok := l.session == session && len(l.idle) < maxIdleStreams
	if ok {
		l.idle = append(l.idle, s)
	}
	m.mu.Unlock()
	if !ok {
		s.Close()
	}
}
