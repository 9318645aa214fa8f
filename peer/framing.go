// SPDX-License-Identifier: MIT

package peer

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame: version, type, flags, stream and length.
const (
	frameHeader   = 12
	frameType     = 1
	frameLength   = 8
	frameTypeData = 0
)

// joinedConn writes the header and the body of a yamux data frame at once.
//
// The session writes them one after the other, which costs two calls here and wakes the other side twice. It writes from
// one goroutine, and the body of a frame directly after its header.
type joinedConn struct {
	net.Conn
	// held is a header whose body comes with the next write.
	held []byte
	// frame is the buffer of the latest frame.
	frame []byte
}

// Write writes p, or keeps it when it is the header of a data frame; what was kept goes before it.
func (c *joinedConn) Write(p []byte) (int, error) {
	if len(c.held) > 0 {
		return c.writeFrame(p)
	}
	if announcesBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// writeFrame writes the header that was kept and its body; it counts the body's bytes.
func (c *joinedConn) writeFrame(body []byte) (int, error) {
	head := len(c.held)
	c.frame = append(append(c.frame[:0], c.held...), body...)
	c.held = c.held[:0]
	n, err := c.Conn.Write(c.frame)
	if cap(c.frame) > maxFrameKept {
		c.frame = nil
	}
	return max(0, n-head), err
}

// maxFrameKept bounds the buffer that a link keeps between two frames, in bytes.
const maxFrameKept = 64 << 10

func announcesBody(p []byte) bool {
	return len(p) == frameHeader && p[frameType] == frameTypeData && binary.BigEndian.Uint32(p[frameLength:]) > 0
}
