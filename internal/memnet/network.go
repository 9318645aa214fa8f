// SPDX-License-Identifier: MIT

/*
Package memnet provides an in-memory network, for tests with a fake clock.

	var n memnet.Network
	ln, err := n.Listen("10.0.0.1:80")
	conn, err := n.Dial(ctx, "tcp", "10.0.0.1:80")

Connections are unbuffered pipes (net.Pipe). A dial to an address without a
listener fails with ECONNREFUSED.
*/
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Network is a set of listeners by address. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	lastPort  int // last port that was assigned for port 0
}

// address is an IP address and a port.
type address string

// Network returns "tcp".
func (address) Network() string { return "tcp" }

// String returns the address in the form host:port.
func (a address) String() string { return string(a) }

// Listen listens on the address. Port 0 assigns the next port in sequence, counted from 1 over all hosts.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if port == "0" {
		n.lastPort++
		addr = net.JoinHostPort(host, fmt.Sprint(n.lastPort))
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, address: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the address. It waits until the listener accepts the connection or the context ends.
func (n *Network) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(to), Err: ctx.Err()}
	}
}

// listener is an open address of a Network.
type listener struct {
	network *Network
	address address
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
}

// Close stops listening and frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
