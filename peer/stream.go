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

// MaxMessage bounds one message on a stream, in bytes.
const MaxMessage = 16 << 20

// Stream is one conversation with a peer; it is used by one goroutine at a time in each direction.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	stop   func() bool
	// idle takes the stream back for another conversation; nil on the side that accepted it.
	idle func(*Stream)
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn), stop: func() bool { return true }}
}

// bind closes the stream when the context ends.
func (s *Stream) bind(ctx context.Context) {
	s.stop = context.AfterFunc(ctx, func() { _ = s.conn.Close() })
}

// Release ends a conversation whose last message was received, and keeps the stream for another one.
//
// A stream whose conversation was broken off must be closed instead.
func (s *Stream) Release() {
	if s.idle == nil || !s.stop() {
		s.Close()
		return
	}
	s.idle(s)
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	b, err := protodelimBytes(m)
	if err != nil {
		return err
	}
	if _, err := s.conn.Write(b); err != nil {
		return fmt.Errorf("send to peer: %w", err)
	}
	return nil
}

// protodelimBytes returns the message in one piece, so that it leaves in one write.
func protodelimBytes(m proto.Message) ([]byte, error) {
	n := proto.Size(m)
	if n > MaxMessage {
		return nil, fmt.Errorf("message of %d bytes is over the limit of %d", n, MaxMessage)
	}
	w := writer(make([]byte, 0, n+binaryOverhead))
	if _, err := protodelim.MarshalTo(&w, m); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return w, nil
}

const binaryOverhead = 10

type writer []byte

// Write appends p; it never fails.
func (w *writer) Write(p []byte) (int, error) {
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
