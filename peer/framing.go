// SPDX-License-Identifier: MIT

package peer

import (
	"encoding/binary"
	"net"
)

// Layout of the yamux frame header: version, type, flags, stream ID and length.
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// frameConn writes the header and the body of a yamux data frame with one call.
//
// The yamux session writes them separately, which costs two system calls and wakes the peer twice. The session writes from a single
// goroutine and always writes the body directly after its header.
type frameConn struct {
	net.Conn
	// header is a buffered frame header whose body follows with the next write; empty if none.
	header []byte
	// frame is a buffer reused between frames.
	frame []byte
}

// Write writes p, preceded by the buffered header if there is one. The header of a data frame is buffered instead of written.
func (c *frameConn) Write(p []byte) (int, error) {
	if len(c.header) > 0 {
		return c.writeFrame(p)
	}
	if isDataHeader(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// writeFrame writes the buffered header and the body. It returns the number of body bytes written.
func (c *frameConn) writeFrame(body []byte) (int, error) {
	headerSize := len(c.header)
	c.frame = append(append(c.frame[:0], c.header...), body...)
	c.header = c.header[:0]
	n, err := c.Conn.Write(c.frame)
	if cap(c.frame) > maxRetainedBuffer {
		c.frame = nil
	}
	return max(0, n-headerSize), err
}

// maxRetainedBuffer limits the size of the buffer kept between frames, in bytes.
const maxRetainedBuffer = 64 << 10

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == frameHeaderSize && p[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
