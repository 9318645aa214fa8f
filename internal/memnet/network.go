// SPDX-License-Identifier: MIT

/*
Package memnet is a network inside one process, for tests on fake time.

	var n memnet.Network
	ln, err := n.Listen("10.0.0.1:80")
	conn, err := n.Dial(ctx, "tcp", "10.0.0.1:80")

Connections are pairs of pipes without a buffer. A dial to an address where
nothing listens fails as a refused connection does.
*/
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Network is a set of listeners by address; the zero value is empty.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	next      int
}

// address is an IP address and a port.
type address string

// Network returns "tcp".
func (address) Network() string { return "tcp" }

// String returns the address as it was given.
func (a address) String() string { return string(a) }

// Listen opens the address; port 0 takes a free one.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(at)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if port == "0" {
		n.next++
		at = net.JoinHostPort(host, fmt.Sprint(n.next))
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(at), Err: syscall.EADDRINUSE}
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, at: address(at), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial connects to the address.
func (n *Network) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: ctx.Err()}
	}
}

type listener struct {
	network *Network
	at      address
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.at, Err: net.ErrClosed}
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.at))
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.at }
