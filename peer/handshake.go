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

// ErrSecretMismatch means that the peer has a different shared secret.
var ErrSecretMismatch = errors.New("peer has a different shared secret; set the same peer_secret in the settings of every entry")

const (
	nonceSize    = 16
	maxHelloSize = 1 << 10
)

// byteReader reads single bytes so that decoding a message consumes nothing beyond it.
type byteReader struct{ net.Conn }

// ReadByte returns the next byte of the connection.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

var _ protodelim.Reader = byteReader{}

// handshake authenticates both sides with the shared secret and returns the identity of the peer. The dialling side sends first.
//
// Each proof is an HMAC over the verifier's nonce and the prover's identity and role, so a proof cannot be reflected to its sender.
func (m *Mesh) handshake(conn net.Conn, dialled bool) (Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Identity{}, fmt.Errorf("peer handshake: %w", err)
	}
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	mine := &peerpb.Hello{Entry: m.Self.Entry, DataCentre: m.Self.DataCentre, Boot: m.Self.Boot, Nonce: nonce}
	var theirs, proof peerpb.Hello
	if err := exchange(conn, dialled, mine, &theirs); err != nil {
		return Identity{}, err
	}
	if err := exchange(conn, dialled, &peerpb.Hello{Proof: m.proof(theirs.Nonce, mine, dialled)}, &proof); err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(proof.Proof, m.proof(nonce, &theirs, !dialled)) {
		return Identity{}, ErrSecretMismatch
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Identity{}, fmt.Errorf("peer handshake: %w", err)
	}
	return Identity{Entry: theirs.Entry, DataCentre: theirs.DataCentre, Boot: theirs.Boot}, nil
}

// exchange sends one message and receives one. The dialling side sends first.
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
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHelloSize}).UnmarshalFrom(byteReader{conn}, h); err != nil {
		return fmt.Errorf("peer handshake: %w", err)
	}
	return nil
}

// proof returns the prover's HMAC over the verifier's nonce; dialled is whether the prover dialled.
func (m *Mesh) proof(nonce []byte, prover *peerpb.Hello, dialled bool) []byte {
	mac := hmac.New(sha256.New, m.Secret)
	fmt.Fprintf(mac, "%x|%t|%q|%q|%q", nonce, dialled, prover.Entry, prover.DataCentre, prover.Boot)
	return mac.Sum(nil)
}
