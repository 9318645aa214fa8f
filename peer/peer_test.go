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

// recorder is a connection that remembers its writes.
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

func TestAFrameLeavesInOneWrite(t *testing.T) {
	c := quicktest.New(t)
	r := &recorder{}
	j := &joinedConn{Conn: r}
	for _, p := range [][]byte{frame(0, 3), []byte("abc"), frame(1, 500), frame(0, 0), frame(0, frameHeader), frame(0, 9)} {
		n, err := j.Write(p)
		c.Assert(err, quicktest.IsNil)
		c.Assert(n, quicktest.Equals, len(p))
	}
	c.Assert(r.writes, quicktest.HasLen, 4) // the last body looks like a header and is none
	c.Assert(string(r.writes[0][frameHeader:]), quicktest.Equals, "abc")
	c.Assert(r.writes[3], quicktest.HasLen, 2*frameHeader)
}

// TestJoiningChangesNoByte writes random frames and compares the bytes with those of the plain connection.
func TestJoiningChangesNoByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &recorder{}
		j := &joinedConn{Conn: r}
		var plain []byte
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			kind := rapid.SampledFrom([]byte{0, 0, 1, 2, 3}).Draw(t, "kind")
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
			parts := [][]byte{frame(kind, uint32(len(body)))}
			if kind == frameTypeData && len(body) > 0 {
				parts = append(parts, body)
			}
			for _, p := range parts {
				plain = append(plain, p...)
				if n, err := j.Write(p); n != len(p) || err != nil {
					t.Fatalf("wrote %d of %d bytes: %v", n, len(p), err)
				}
			}
		}
		if !bytes.Equal(bytes.Join(r.writes, nil), plain) {
			t.Fatalf("%x was written as %x", plain, r.writes)
		}
	})
}

func TestOnlyAPeerWithTheSecretIsLetIn(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range [...]struct {
		secret string
		want   error
	}{{"one", nil}, {"other", ErrSecret}} {
		here, there := net.Pipe()
		a := &Mesh{Self: Identity{Entry: "a"}, Secret: []byte("one")}
		b := &Mesh{Self: Identity{Entry: "b", Boot: "2"}, Secret: []byte(test.secret)}
		met := make(chan Identity, 1)
		go func() {
			id, _ := b.handshake(there, true) // the accepting side's answer is the one looked at
			met <- id
		}()
		id, err := a.handshake(here, false)
		c.Assert(errors.Is(err, test.want), quicktest.IsTrue)
		if test.want == nil {
			c.Assert(id, quicktest.Equals, Identity{Entry: "b", Boot: "2"})
			c.Assert((<-met).Entry, quicktest.Equals, "a")
		}
		here.Close()
	}
}

// script is a connection whose other side says the given bytes and hears nothing.
type script struct {
	net.Conn
	*bytes.Reader
}

func (s script) Read(p []byte) (int, error) { return s.Reader.Read(p) }
func (script) Write(p []byte) (int, error)  { return len(p), nil }
func (script) Close() error                 { return nil }
func (script) SetDeadline(time.Time) error  { return nil }
func said(b []byte) script                  { return script{Reader: bytes.NewReader(b)} }
func bytesOf(f *testing.F, m proto.Message) []byte {
	b, err := protodelimBytes(m)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// FuzzHandshake lets a stranger say anything; it must never be taken for a peer.
func FuzzHandshake(f *testing.F) {
	hello := bytesOf(f, &peerpb.Hello{Entry: "x", Boot: "1", Nonce: []byte("0123456789abcdef")})
	f.Add(append(hello, bytesOf(f, &peerpb.Hello{Proof: []byte("guess")})...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &Mesh{Self: Identity{Entry: "a"}, Secret: []byte("secret")}
		for _, dialled := range [...]bool{true, false} {
			if id, err := m.handshake(said(b), dialled); err == nil {
				t.Fatalf("%+v was let in", id)
			}
		}
	})
}

// FuzzReceive reads any bytes as the messages of a stream; what can be read can be written and read again.
func FuzzReceive(f *testing.F) {
	f.Add(bytesOf(f, &peerpb.Open{Kind: &peerpb.Open_Relay{Relay: &peerpb.RelayRequest{Id: "r", Service: "s", Method: "GET"}}}))
	f.Add(bytesOf(f, &peerpb.Open{Kind: &peerpb.Open_CatchUp{CatchUp: &peerpb.CatchUp{}}}))
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range [...]proto.Message{&peerpb.Open{}, &peerpb.RelayAnswer{}, &peerpb.Chunk{}, &peerpb.CatchUpAnswer{}, &peerpb.EventsAnswer{}} {
			if newStream(said(b)).Receive(m) != nil {
				continue
			}
			again, err := protodelimBytes(m)
			if err != nil {
				t.Fatal(err)
			}
			back := m.ProtoReflect().New().Interface()
			if err := newStream(said(again)).Receive(back); err != nil || !proto.Equal(m, back) {
				t.Fatalf("%v came back as %v: %v", m, back, err)
			}
		}
	})
}
