// SPDX-License-Identifier: MIT

/*
Package alive opens TCP connections that end when the other side is out of
reach or when the connection alone has fallen silent.

	d := alive.Dialer(time.Second)
	conn, err := d.DialContext(ctx, "tcp", "10.0.0.1:80")
	ln, err := alive.Listen("10.0.0.1:80", 10*time.Second)

Without that a connection through a link that was cut, or one that a device on
the way has forgotten, hangs until somebody's time-out, although new ones work.
*/
package alive

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection ends whose other side answers nothing: a second with bytes on their way, two when it was
// idle, since the kernel counts the probes' times in whole seconds.
const (
	// probeAfter is how long a connection carries nothing before it is probed, probeEvery the pause between the probes,
	// probes how many stay without an answer.
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 1
	// Unacknowledged is how long bytes that were sent may stay unacknowledged; under the pause after which candidates miss a
	// leader. The kernel counts a full window of the other side too.
	Unacknowledged = time.Second
)

func probing() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}
}

// Dialer returns a dialler of such connections that gives up after the time-out.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: probing(), Control: func(_, _ string, c syscall.RawConn) error {
		return bound(c, Unacknowledged)
	}}
}

// Listen opens an address whose accepted connections are such. Bytes may stay unacknowledged for the given time, and the other side may read nothing for as long.
func Listen(address string, unacknowledged time.Duration) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: probing()}
	ln, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{ln, unacknowledged}, nil
}

// listener bounds accepted connections, which do not inherit that bound.
type listener struct {
	net.Listener
	unacknowledged time.Duration
}

// SyscallConn returns the socket of the listener.
func (l listener) SyscallConn() (syscall.RawConn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return s.SyscallConn()
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = bound(raw, l.unacknowledged) // the probes go on alone
		}
	}
	return conn, nil
}

// bound limits how long bytes may stay unacknowledged; where that is not to be had the probes go on alone.
func bound(c syscall.RawConn, unacknowledged time.Duration) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
