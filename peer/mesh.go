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

// ErrNoLink means that there is no link to the peer and nothing was sent.
var ErrNoLink = errors.New("no link to the peer; the work was not sent")

// Address names a peer and where it listens.
type Address struct {
	Entry string
	// Address is an IP address and a port.
	Address string
}

// Identity is what a peer proved about itself.
type Identity struct {
	Entry, DataCentre, Boot string
}

// Mesh holds the links of one entry.
type Mesh struct {
	Self Identity
	// Secret is shared by all entries of a site.
	Secret []byte
	// TLS protects the links in both directions; none when nil.
	TLS *tls.Config
	// Listener accepts links from peers.
	Listener net.Listener
	// Serve answers one stream; the stream is closed when it returns.
	Serve func(ctx context.Context, from Identity, open *peerpb.Open, s *Stream)
	// Dial opens a connection; a net.Dialer's when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Partitioned says that no bytes may pass to or from the address; a fault switch of tests, nil in operation.
	Partitioned func(entry string) bool
	// Events receives link events.
	Events *event.Ring
	// Meter counts the bytes of all links; may be nil.
	Meter *meter.Meter

	mu      sync.Mutex
	links   map[string]*link
	closing bool
	work    sync.WaitGroup
}

type link struct {
	address Address
	cancel  context.CancelFunc
	session *yamux.Session // nil while the link is down
	refused int            // connections in a row that the peer's host refused
	idle    []*Stream      // of the session, with no conversation
}

// maxIdle bounds the streams that a link keeps for later conversations.
const maxIdle = 16

// Times of a Mesh.
const (
	dialTimeout  = time.Second
	redialPause  = 300 * time.Millisecond
	helloTimeout = 2 * time.Second
	// refusedToGone is the number of refused connections in a row after which a peer's process counts as ended.
	refusedToGone = 3
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

// Run accepts links until the context ends, then closes every link and returns the context's error.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.Listener.Close() })
	defer stop()
	for {
		conn, err := m.Listener.Accept()
		if err != nil {
			m.shutDown()
			return errors.Join(ctx.Err(), ignoreClosed(err))
		}
		m.work.Go(func() { m.accepted(ctx, m.Meter.Conn(conn)) })
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("accept peers: %w", err)
}

func (m *Mesh) shutDown() {
	m.mu.Lock()
	m.closing = true
	for _, l := range m.links {
		l.cancel()
	}
	m.mu.Unlock()
	m.work.Wait()
}

func (m *Mesh) accepted(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	raw := conn
	defer context.AfterFunc(ctx, func() { _ = raw.Close() })() // a handshake must not hold up a stop
	if m.TLS != nil {
		conn = tls.Server(conn, m.TLS)
	}
	from, err := m.handshake(conn, false)
	if err != nil || m.cut(from.Entry) {
		return
	}
	session, err := yamux.Server(&joinedConn{Conn: conn}, sessionConfig())
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

// serveStream answers one conversation after another until the stream ends.
func (m *Mesh) serveStream(ctx context.Context, from Identity, conn net.Conn) {
	s := newStream(conn)
	s.bind(ctx)
	defer s.Close()
	open := new(peerpb.Open)
	if s.Receive(open) != nil {
		return
	}
	for open != nil && !m.cut(from.Entry) {
		open = m.converse(ctx, from, open, s)
	}
}

// converse answers one conversation and returns the first message of the next, or nil at the stream's end.
//
// The other side sends nothing more before it has the whole answer, so what comes is the next conversation or the end;
// the end cancels.
func (m *Mesh) converse(ctx context.Context, from Identity, open *peerpb.Open, s *Stream) *peerpb.Open {
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

func (m *Mesh) cut(entry string) bool { return m.Partitioned != nil && m.Partitioned(entry) }

// SetPeers says to which peers links are to be kept; links to others are closed.
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

func (m *Mesh) startLink(ctx context.Context, a Address) {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{address: a, cancel: cancel}
	m.links[a.Entry] = l
	m.work.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			m.keepLink(ctx, l)
			select {
			case <-ctx.Done():
			case <-time.After(redialPause):
			}
		}
	})
}

// keepLink holds one connection to the peer until it ends.
func (m *Mesh) keepLink(ctx context.Context, l *link) {
	session, err := m.connect(ctx, l.address)
	m.countRefused(l, err)
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

func (m *Mesh) countRefused(l *link, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.refused++
		return
	}
	l.refused = 0
}

// ExitedPeers returns the peers whose hosts answer that nothing listens there any more, in order of their names.
func (m *Mesh) ExitedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []string
	for entry, l := range m.links {
		if l.refused >= refusedToGone {
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
	if m.cut(a.Entry) {
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
	session, err := yamux.Client(&joinedConn{Conn: conn}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("link to %s: %w", a.Entry, err)
	}
	return session, nil
}

// clientTLS verifies the peer's certificate against the IP address that was dialled.
func (m *Mesh) clientTLS(address string) *tls.Config {
	c := m.TLS.Clone()
	host, _, err := net.SplitHostPort(address)
	if err == nil {
		c.ServerName = host
	}
	return c
}

// ConnectedPeers returns the peers with an open link, in order of their names.
func (m *Mesh) ConnectedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up []string
	for entry, l := range m.links {
		if l.session != nil && !m.cut(entry) {
			up = append(up, entry)
		}
	}
	slices.Sort(up)
	return up
}

// Open starts a conversation with the peer and sends its first message; ErrNoLink means that nothing was sent.
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
	if l == nil || l.session == nil || m.cut(entry) {
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
	s.idle = func(s *Stream) { m.keep(l, session, s) }
	return s, nil
}

// keep takes a stream back if its session is still the link's.
func (m *Mesh) keep(l *link, session *yamux.Session, s *Stream) {
	m.mu.Lock()
	ok := l.session == session && len(l.idle) < maxIdle
	if ok {
		l.idle = append(l.idle, s)
	}
	m.mu.Unlock()
	if !ok {
		s.Close()
	}
}
