// SPDX-License-Identifier: MIT

// Package meter counts the bytes that connections transfer.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts bytes in both directions. The zero value is ready to use; a Meter may be shared by several connections.
type Meter struct {
	in, out atomic.Int64
}

// Bytes returns the number of bytes read and written so far.
func (m *Meter) Bytes() (in, out int64) { return m.in.Load(), m.out.Load() }

// Conn wraps the connection to count its bytes. A nil Meter returns it as it is.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m}
}

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a Dialer that counts the bytes of its connections. A nil dial stands for that of the zero net.Dialer.
func (m *Meter) Dial(dial Dialer) Dialer {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(c), nil
	}
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
