// SPDX-License-Identifier: MIT

/*
Package crowd tests that clients which misuse an entry within its stated limits
can't end its process. It holds tests only.

	go test ./internal/crowd            # all kinds of crowd, one after the other
	go test ./internal/crowd -v -run Open

What a client may send is limited for each request. What many clients may cost
together isn't limited by that: each open body, connection and half-read header
takes memory and a descriptor for as long as its client likes. A process that
needs more memory or descriptors than its machine has is ended by the platform,
and then the others bear its load.

Each test starts two entries as processes on loopback beside a fake of the
users' platform. One leads, the other doesn't. Their settings contain low
limits, so that a small crowd exceeds them. A crowd of one kind then connects to
both entries, sends what its kind sends, and stays. The tests check what doesn't
depend on the speed of the machine:

  - The processes live.
  - Their memory stays within MemoryMb of their settings. Bytes that have
    arrived and haven't been read count, as on the users' platform.
  - Their open descriptors stay within MaxFds less those reserved for files.
  - Each entry accepts an ordinary job from another connection while the crowd
    is there and after it has left. The client repeats a job that was refused
    for lack of capacity, as the users' clients do.
  - What was refused was refused in a way that the protocol allows, and a job
    that was refused or whose body never ended is unknown.

Two tests guard the other side: a job of the largest permitted size and a slow
client are served as long as there is no crowd.

The crowds and the limits were chosen on code without such bounds, as small as
shows the fault there. They don't change with the product. Run these tests apart
from other load.
*/
package crowd
