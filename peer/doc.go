// SPDX-License-Identifier: MIT

/*
Package peer links entries with each other.

A Mesh keeps one outgoing link to each peer that it is told about and accepts
links from others. A link is a TCP connection on which both sides prove that
they know the shared secret; yamux then carries any number of streams:

	s, err := mesh.Open(ctx, "entry-b", &peerpb.Open{...})
	if err != nil {
		// Nothing was sent: the work can go elsewhere.
	}
	err = s.Receive(&answer)

Messages on a stream are protobuf, each with its length before it. The
protocol is in docs/PROTOCOLS.md.
*/
package peer
