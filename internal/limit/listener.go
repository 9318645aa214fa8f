// SPDX-License-Identifier: MIT

package limit

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts at most a fixed number of connections at the same time.
//
// Over that number, the connection that has waited for a request, or for more of one, for longest gives its place to the new one, or
// else one whose client does not read its answer. Each keeps its place for a moment, in which the others wait in the kernel's queue:
// where clients return as fast as they are closed, an ordinary one would otherwise be displaced before its request is read.
type Listener struct {
	net.Listener
	guard *Guard
	max   int
	// peers means that the kernel's buffers keep their size, since links between entries carry much.
	peers bool

	mu   sync.Mutex
	open int
	// waiting holds the connections that may be closed, the one with the oldest progress first.
	waiting list.List
	// answering holds those whose answers are being written, the one with the oldest progress first.
	answering list.List
	// turnOver means that a new connection waits and found no place: the next connection with a further request is closed after its answer.
	turnOver atomic.Bool
}

// Times of connections over the limit.
const (
	// A connection without progress keeps its place for minStay to maxStay: as long as passRate connections a second can still pass. With
	// 512 places that is maxStay, with 39 it is minStay and 780 connections pass.
	minStay  = 50 * time.Millisecond
	maxStay  = 250 * time.Millisecond
	passRate = 2000
	// With at most fewPlaces, as for readiness checks and metrics, that time is shortStay: their clients send a short request at once, and with
	// minStay a check waits 1.8 s behind 300 silent clients that return.
	fewPlaces = 8
	shortStay = 15 * time.Millisecond
	// answerTime is how long a connection whose answer is being written keeps its place, and again for each answerBytes that its client
	// takes: 16 KiB/s, a fifteenth of a link of 2 Mbit/s. A write in progress does not show it: the kernel accepts more
	// only once a third of its buffer is free.
	answerTime  = 500 * time.Millisecond
	answerBytes = 8 << 10
	// heldTime and heldBytes are the same for an answer that has been written whole, after a first answerTime: a client that reads 200 KB/s may acknowledge
	// nothing for a third of a second, until half of its buffer is free. They are less, since what the kernel holds is bounded, since TCP
	// delivers only 2 KiB in each 0.2 s to a client with the smallest receive buffer, and since a crowd that doesn't read keeps the places for that time.
	heldTime  = 250 * time.Millisecond
	heldBytes = 2 << 10
	// maxPlaceWait is how long a new connection waits while others that are read from make progress. Then the one that has waited longest for its
	// next bytes gives way, so that many slow bodies can't keep all places.
	maxPlaceWait = 500 * time.Millisecond
	// behindShare is the fraction of the places that clients may keep which take their answers more slowly than the process writes them: beyond it, the
	// slowest of them gives way. blockedTime is how long a write has to last for that.
	behindShare = 0.5
	blockedTime = 10 * time.Millisecond
	// behindTime is how long a client is watched before its rate counts, behindPause the longest time between two looks that belong together.
	behindTime  = 250 * time.Millisecond
	behindPause = time.Second
	// At each look the kernel is asked about one connection in askFraction, at least minAsks, and about each again after askPause, in which there are ten
	// looks: asking about 500 takes 0.1 ms and more, in which no connection gets or leaves its place.
	askFraction = 8
	minAsks     = 16
	askPause    = 10 * pollTime
	// placeTimeout is how long a new connection waits while all others are being served, and pollTime the pause between two looks.
	placeTimeout = 2 * time.Second
	pollTime     = 5 * time.Millisecond
)

// Listener returns a listener that keeps at most max connections of ln open.
func (g *Guard) Listener(ln net.Listener, max int) *Listener {
	g.init()
	if s, ok := ln.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			// Accepted connections inherit the sizes, so that they hold before the connection is accepted.
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.limits.SocketBytes)
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, g.limits.SocketBytes)
			})
		}
	}
	return &Listener{Listener: ln, guard: g, max: max}
}

// PeerListener returns a listener for connections from other entries. Each may be closed until Hold is called.
func (g *Guard) PeerListener(ln net.Listener) *Listener {
	g.init()
	return &Listener{Listener: ln, guard: g, max: g.limits.PeerConnections, peers: true}
}

// acceptPause is the pause after an error that passes, such as too many open files.
const acceptPause = 10 * time.Millisecond

// passes reports whether an error of Accept says nothing about the listener itself.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// Accept waits for the next connection that there is room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if passes(err) {
				time.Sleep(acceptPause)
				continue
			}
			return nil, err
		}
		if x := l.admit(c); x != nil {
			return x, nil
		}
	}
}

// admit returns the connection with its bounds, or nil if it was closed.
func (l *Listener) admit(c net.Conn) *conn {
	tcp, _ := c.(socket)
	if tcp != nil && !l.peers {
		_ = tcp.SetReadBuffer(l.guard.limits.SocketBytes) // on an error the kernel's own bounds hold
		_ = tcp.SetWriteBuffer(l.guard.limits.SocketBytes)
	}
	x := &conn{Conn: c, socket: tcp, listener: l}
	x.mode.Store(modeExpecting)
	for start := time.Now(); !l.place(start, time.Now()); time.Sleep(pollTime) {
		if time.Since(start) > placeTimeout {
			l.guard.count(ConnectionRefused)
			discard(tcp, c)
			return nil
		}
	}
	x.placedAt = time.Now()
	add(&l.guard.connections, l.guard.meters.connections, 1)
	return x
}

// place takes a place for a connection that has waited since start, if need be that of another. It returns false if there is none now.
func (l *Listener) place(start, now time.Time) bool {
	l.mu.Lock()
	var displaced *conn
	if l.open >= l.max {
		if displaced = l.oldest(now, now.Sub(start) >= maxPlaceWait); displaced == nil {
			l.turnOver.Store(true)
			l.mu.Unlock()
			return false
		}
		displaced.leaveList()
		displaced.displaced = true
	}
	l.open++
	l.turnOver.Store(false)
	l.mu.Unlock()
	if displaced != nil {
		l.guard.count(ConnectionDisplaced)
		if b := displaced.body.Load(); b != nil {
			b.displace()
		}
		discard(displaced.socket, displaced)
	}
	return true
}

// stay returns how long a connection without progress keeps its place.
func (l *Listener) stay() time.Duration {
	if l.max <= fewPlaces {
		return shortStay
	}
	return min(max(time.Duration(l.max)*time.Second/passRate, minStay), maxStay)
}

// endsTurn reports whether a connection whose next request was read is to be closed after the answer, since another one waits for a place. A client that always
// has a further request ready is never found waiting for one. It is asked of one connection for each look for a place.
func (l *Listener) endsTurn(x *conn) bool {
	return l.turnOver.Load() && time.Since(x.placedAt) >= l.stay() && l.turnOver.CompareAndSwap(true, false)
}

// oldest returns the connection that is to give its place, or nil. With urgent, one that is read from need not have kept its place for stay. l.mu must be held.
func (l *Listener) oldest(now time.Time, urgent bool) *conn {
	k := &look{now: now, asks: max(l.max/askFraction, minAsks)}
	for e := l.waiting.Front(); e != nil && (urgent || now.Sub(e.Value.(*conn).since) >= l.stay()); e = e.Next() {
		x := e.Value.(*conn)
		if !x.delivering(k) {
			return x
		}
		if x.asked.pending {
			k.addBehind(x)
		}
	}
	for e := l.answering.Front(); e != nil && now.Sub(e.Value.(*conn).since) >= blockedTime; {
		x, next := e.Value.(*conn), e.Next()
		if now.Sub(x.since) >= answerTime && k.ask(x) {
			if !x.takesAnswer() {
				return x
			}
			x.enter(&l.answering, now)
		}
		k.addBehind(x)
		e = next
	}
	if k.behind <= max(int(behindShare*float64(l.max)), 1) {
		return nil
	}
	return k.slowest
}

// look is one look for a place.
type look struct {
	now time.Time
	// asks is how many more connections the kernel may be asked about.
	asks int
	// behind is the number of clients that are behind with their answers, slowest the one with the lowest known rate, nil if none is known.
	behind  int
	slowest *conn
	rate    float64
}

// ask asks the kernel about a connection unless it did so less than askPause ago or has asked about enough others. The listener's mutex must be held.
func (k *look) ask(x *conn) bool {
	if k.asks == 0 || k.now.Sub(x.asked.at) < askPause {
		return false
	}
	k.asks--
	x.asked.at = k.now
	x.asked.acked, x.asked.pending = delivery(x.socket)
	return true
}

// addBehind adds a client that is behind with its answers. The listener's mutex must be held.
func (k *look) addBehind(x *conn) {
	k.behind++
	if rate, ok := x.rate(k); ok && (k.slowest == nil || rate < k.rate) {
		k.slowest, k.rate = x, rate
	}
}

// socket is the part of net.TCPConn that bounds the kernel's buffers and tells what the client has acknowledged.
type socket interface {
	syscall.Conn
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
	SetLinger(seconds int) error
	CloseWrite() error
}

// discard closes a connection at once, together with what the kernel holds of it.
func discard(s socket, c net.Conn) {
	if s != nil {
		_ = s.SetLinger(0)
	}
	_ = c.SetDeadline(time.Now()) // a write in progress must not delay the close
	_ = c.Close()
}

// delivery returns how many bytes the client has acknowledged, and whether there are others that the kernel has yet to deliver. Without a kernel
// socket there are none.
func delivery(s socket) (acked uint64, pending bool) {
	if s == nil {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked, pending = info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return acked, pending
}
