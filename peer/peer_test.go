// SPDX-License-Identifier: MIT

package peer

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rackstep.dev/peer/peerpb"
)

// recorder is a connection that records its writes.
type recorder struct {
	net.Conn
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

func frame(kind byte, length uint32) []byte {
	return []byte{0, kind, 0, 0, 0, 0, 0, 1, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
}

// TestDataFrameIsOneWrite checks that the header and body of a data frame are sent with one write and other frames unchanged.
func TestDataFrameIsOneWrite(t *testing.T) {
	c := quicktest.New(t)
	r := &recorder{}
	conn := &frameConn{Conn: r}
	for _, p := range [][]byte{frame(0, 3), []byte("abc"), frame(1, 500), frame(0, 0), frame(0, frameHeaderSize), frame(0, 9)} {
		n, err := conn.Write(p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(n, quicktest.Equals, len(p))
	}
	c.Assert(r.writes, quicktest.HasLen, 4) // the last body has the size and the bytes of a header
	c.Assert(string(r.writes[0][frameHeaderSize:]), quicktest.Equals, "abc")
	c.Assert(r.writes[3], quicktest.HasLen, 2*frameHeaderSize)
}

// TestFrameConnPreservesBytes guards against corrupted frames: random frames must produce the same bytes as without frameConn.
func TestFrameConnPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &recorder{}
		conn := &frameConn{Conn: r}
		var want []byte
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			kind := rapid.SampledFrom([]byte{0, 0, 1, 2, 3}).Draw(t, "kind")
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
			parts := [][]byte{frame(kind, uint32(len(body)))}
			if kind == frameTypeData && len(body) > 0 {
				parts = append(parts, body)
			}
			for _, p := range parts {
				want = append(want, p...)
				if n, err := conn.Write(p); n != len(p) || err != nil {
					t.Fatalf("wrote %d of %d bytes: %v", n, len(p), err)
				}
			}
		}
		if !bytes.Equal(bytes.Join(r.writes, nil), want) {
			t.Fatalf("frames %x were written as %x", want, r.writes)
		}
	})
}

// TestHandshakeRequiresSecret checks that a peer with another secret is rejected with ErrSecretMismatch.
func TestHandshakeRequiresSecret(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range [...]struct {
		secret string
		want   error
	}{{"one", nil}, {"other", ErrSecretMismatch}} {
		here, there := net.Pipe()
		a := &Mesh{Self: Identity{Entry: "a"}, Secret: []byte("one")}
		b := &Mesh{Self: Identity{Entry: "b", Boot: "2"}, Secret: []byte(test.secret)}
		identity := make(chan Identity, 1)
		go func() {
			id, _ := b.handshake(there, true) // errors are checked on the accepting side
			identity <- id
		}()
		id, err := a.handshake(here, false)
		c.Assert(errors.Is(err, test.want), quicktest.IsTrue)
		if test.want == nil {
			c.Assert(id, quicktest.Equals, Identity{Entry: "b", Boot: "2"})
			c.Assert((<-identity).Entry, quicktest.Equals, "a")
		}
		here.Close()
	}
}

// scriptedConn is a connection that reads the given bytes and discards writes.
type scriptedConn struct {
	net.Conn
	*bytes.Reader
}

func (s scriptedConn) Read(p []byte) (int, error) { return s.Reader.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)  { return len(p), nil }
func (scriptedConn) Close() error                 { return nil }
func (scriptedConn) SetDeadline(time.Time) error  { return nil }
func newScriptedConn(b []byte) scriptedConn       { return scriptedConn{Reader: bytes.NewReader(b)} }
func mustEncode(f *testing.F, m proto.Message) []byte {
	b, err := encodeDelimited(m)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// FuzzHandshake sends arbitrary bytes from a peer without the secret. The handshake must never succeed.
func FuzzHandshake(f *testing.F) {
	hello := mustEncode(f, &peerpb.Hello{Entry: "x", Boot: "1", Nonce: []byte("0123456789abcdef")})
	f.Add(append(hello, mustEncode(f, &peerpb.Hello{Proof: []byte("guess")})...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &Mesh{Self: Identity{Entry: "a"}, Secret: []byte("secret")}
		for _, dialled := range [...]bool{true, false} {
			if id, err := m.handshake(newScriptedConn(b), dialled); err == nil {
				t.Fatalf("handshake without the secret accepted %+v", id)
			}
		}
	})
}

// FuzzReceive decodes arbitrary bytes as messages of a stream. Every decoded message must survive encoding and decoding.
func FuzzReceive(f *testing.F) {
	f.Add(mustEncode(f, &peerpb.Open{Kind: &peerpb.Open_Relay{Relay: &peerpb.RelayRequest{Id: "r", Service: "s", Method: "GET"}}}))
	f.Add(mustEncode(f, &peerpb.Open{Kind: &peerpb.Open_CatchUp{CatchUp: &peerpb.CatchUp{}}}))
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range [...]proto.Message{&peerpb.Open{}, &peerpb.RelayAnswer{}, &peerpb.Chunk{}, &peerpb.CatchUpAnswer{}, &peerpb.EventsAnswer{}} {
			if newStream(newScriptedConn(b)).Receive(m) != nil {
				continue
			}
			again, err := encodeDelimited(m)
			if err != nil {
				t.Fatal(err)
			}
			back := m.ProtoReflect().New().Interface()
			if err := newStream(newScriptedConn(again)).Receive(back); err != nil || !proto.Equal(m, back) {
				t.Fatalf("%v was decoded as %v: %v", m, back, err)
			}
		}
	})
}
