// SPDX-License-Identifier: MIT

package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessage limits the size of a message on a stream, in bytes.
const MaxMessage = 16 << 20

// Stream carries one conversation at a time with a peer. Each direction may be used by one goroutine at a time.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	stop   func() bool
	// recycle returns the stream to the link for another conversation; nil on the accepting side.
	recycle func(*Stream)
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn), stop: func() bool { return true }}
}

// bind closes the stream when ctx is done.
func (s *Stream) bind(ctx context.Context) {
	s.stop = context.AfterFunc(ctx, func() { _ = s.conn.Close() })
}

// Release ends a conversation whose last message was received and keeps the stream for reuse.
//
// A stream whose conversation was aborted must be closed instead.
func (s *Stream) Release() {
	if s.recycle == nil || !s.stop() {
		s.Close()
		return
	}
	s.recycle(s)
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	b, err := encodeDelimited(m)
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(b); err != nil {
		return fmt.Errorf("send to peer: %w", err)
	}
	return nil
}

// encodeDelimited returns the length-prefixed message in one buffer so that it is sent with one write.
func encodeDelimited(m proto.Message) ([]byte, error) {
	n := proto.Size(m)
	if n > MaxMessage {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", n, MaxMessage)
	}
	w := sliceWriter(make([]byte, 0, n+maxPrefixBytes))
	if _, err := protodelim.MarshalTo(&w, m); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return w, nil
}

// maxPrefixBytes is the maximum size of the varint length prefix.
const maxPrefixBytes = 10

// sliceWriter is an io.Writer that appends to a slice.
type sliceWriter []byte

// Write appends p. It never returns an error.
func (w *sliceWriter) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}

// Receive reads one message.
func (s *Stream) Receive(m proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessage}).UnmarshalFrom(s.reader, m); err != nil {
		return fmt.Errorf("receive from peer: %w", err)
	}
	return nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
}
