// SPDX-License-Identifier: MIT

// Package meter counts the bytes of connections.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts bytes in both directions; the zero value is ready and may be shared by many connections.
type Meter struct {
	in, out atomic.Int64
}

// Bytes returns what was read and written so far.
func (m *Meter) Bytes() (in, out int64) { return m.in.Load(), m.out.Load() }

// Conn returns the connection with its bytes counted; a nil Meter counts nothing.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m}
}

// Dialer is the type of a function that opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dialler whose connections are counted; a nil dial is a net.Dialer's.
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

type conn struct {
	net.Conn
	meter *Meter
}

// Read reads and counts.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
