// SPDX-License-Identifier: MIT

package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"rackstep.dev/peer/peerpb"
)

// ErrSecret means that the other side does not know the shared secret.
var ErrSecret = errors.New("peer does not know the shared secret; set the same peer_secret in every entry's settings")

const (
	nonceSize = 16
	maxHello  = 1 << 10
)

// byteReader reads single bytes, so that nothing after a message is taken from the connection.
type byteReader struct{ net.Conn }

// ReadByte returns the next byte of the connection.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

var _ protodelim.Reader = byteReader{}

// handshake proves both sides to each other: first the dialling side, which speaks first, then the accepting one.
//
// Each proof covers the nonce of the other side and the prover's name and role, so that none can be reflected.
func (m *Mesh) handshake(conn net.Conn, dialled bool) (Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Identity{}, fmt.Errorf("peer handshake: %w", err)
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // it never fails, says its documentation
	mine := &peerpb.Hello{Entry: m.Self.Entry, DataCentre: m.Self.DataCentre, Boot: m.Self.Boot, Nonce: nonce}
	var theirs, proof peerpb.Hello
	if err := exchange(conn, dialled, mine, &theirs); err != nil {
		return Identity{}, err
	}
	if err := exchange(conn, dialled, &peerpb.Hello{Proof: m.proof(theirs.Nonce, mine, dialled)}, &proof); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(proof.Proof, m.proof(nonce, &theirs, !dialled)) {
		return Identity{}, ErrSecret
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Identity{}, fmt.Errorf("peer handshake: %w", err)
	}
	return Identity{Entry: theirs.Entry, DataCentre: theirs.DataCentre, Boot: theirs.Boot}, nil
}

// exchange sends one message and receives one; the dialling side sends first.
func exchange(conn net.Conn, dialled bool, mine, theirs *peerpb.Hello) error {
	if !dialled {
		if err := receiveHello(conn, theirs); err != nil {
			return err
		}
	}
	if _, err := protodelim.MarshalTo(conn, mine); err != nil {
		return fmt.Errorf("peer handshake: %w", err)
	}
	if dialled {
		return receiveHello(conn, theirs)
	}
	return nil
}

func receiveHello(conn net.Conn, h *peerpb.Hello) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHello}).UnmarshalFrom(byteReader{conn}, h); err != nil {
		return fmt.Errorf("peer handshake: %w", err)
	}
	return nil
}

func (m *Mesh) proof(nonce []byte, prover *peerpb.Hello, dialled bool) []byte {
	mac := hmac.New(sha256.New, m.Secret)
	fmt.Fprintf(mac, "%x|%t|%q|%q|%q", nonce, dialled, prover.Entry, prover.DataCentre, prover.Boot)
	return mac.Sum(nil)
}
