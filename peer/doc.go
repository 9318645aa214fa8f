// SPDX-License-Identifier: MIT

/*
Package peer connects entries with each other.

A Mesh maintains one outgoing link to each configured peer and accepts links
from others. A link is a TCP connection on which both sides prove knowledge of
a shared secret. It is then multiplexed with yamux:

	s, err := mesh.Open(ctx, "entry-b", &peerpb.Open{...})
	if err != nil {
		// For ErrNoLink, nothing was sent and another peer can be tried.
	}
	err = s.Receive(&answer)

Messages on a stream are length-prefixed protobuf. docs/PROTOCOLS.md describes
the protocol.
*/
package peer
