// SPDX-License-Identifier: MIT

package limit

import (
	"cmp"
	"time"
)

// Limits are the bounds of one process. A field that is 0 has the default that For derives.
type Limits struct {
	// Connections is the maximum number of open connections of clients, PeerConnections that of connections from other entries.
	// ReadinessConnections and MetricsConnections are those of the readiness check and of the metrics.
	Connections, PeerConnections, ReadinessConnections, MetricsConnections int
	// HeaderBytes and HeaderLines limit the headers of a request. The server reads up to 4 KiB more than HeaderBytes.
	HeaderBytes, HeaderLines int
	// SocketBytes is the size of each of the kernel's two buffers of a connection. The kernel reserves twice as much.
	SocketBytes int
	// SmallBodies is the memory for the first smallBytes of all bodies in progress, LargeBodies that for the rest of them.
	SmallBodies, LargeBodies int64
	// LargeDecodes is the number of bodies over smallBytes that are decoded at the same time.
	LargeDecodes int
	// BodyIdle is how long a body may make no progress. BodyGrace is how long any body may take; beyond it, a second is added for
	// every BodyRate bytes.
	BodyIdle, BodyGrace time.Duration
	BodyRate            int
	// WriteIdle is how long a client may read nothing of its answer.
	WriteIdle time.Duration
}

// Division of memory and descriptors.
const (
	// reservedFiles is the number of descriptors that the platform reserves for files, fixedSockets the number that is reserved for
	// listeners, readiness checks, metrics and the platform's services.
	reservedFiles = 200
	fixedSockets  = 32
	// otherShare is the fraction of the sockets that is not used for connections to workers. peerShare is the fraction of that which
	// is for peers: with 4,100 descriptors, a leader has room for links from over 600 entries.
	otherShare = 0.3
	peerShare  = 0.55
	// connectionShare is the fraction of the memory that connections may take, connectionBytes what one takes at most: the kernel's
	// buffers, the server's buffers, three stacks, and headers at their limit.
	connectionShare = 0.25
	connectionBytes = 128 << 10
	// bodyShare is the fraction of the memory that bodies may take, smallShare the fraction of that for the beginnings of bodies.
	bodyShare  = 0.1
	smallShare = 0.25
	// minLargeBodies lets a body of 1 MiB pass on the smallest machine.
	minLargeBodies = 2 << 20
	// minConnections is enough for a process with unusually few descriptors to be reachable.
	minConnections = 16
	// defaultMemoryMB and defaultFiles apply when the settings contain no limit.
	defaultMemoryMB = 512
	defaultFiles    = 4096
)

// For returns the limits of a process that may use so much memory and so many descriptors. With 0, 512 MB or 4,096 are assumed.
func For(memoryMB, files int) Limits {
	memory := float64(cmp.Or(memoryMB, defaultMemoryMB)) * (1 << 20)
	sockets := max(otherShare*float64(cmp.Or(files, defaultFiles)-reservedFiles)-fixedSockets, 0)
	small, large := DivideBodies(int64(bodyShare * memory))
	return Limits{
		Connections:          max(int(min((1-peerShare)*sockets, connectionShare*memory/connectionBytes)), minConnections),
		PeerConnections:      max(int(peerShare*sockets), minConnections),
		ReadinessConnections: 8,
		MetricsConnections:   4,
		HeaderBytes:          16 << 10,
		HeaderLines:          500,
		SocketBytes:          16 << 10, // with 8 KiB, TCP stalls for 0.2 s at a time on loopback
		SmallBodies:          small,
		LargeBodies:          max(large, minLargeBodies),
		LargeDecodes:         2,
		BodyIdle:             10 * time.Second,
		BodyGrace:            time.Minute,
		BodyRate:             256,
		WriteIdle:            10 * time.Second,
	}
}

// DivideBodies divides the memory for bodies into that for their beginnings and that for the rest.
func DivideBodies(bytes int64) (small, large int64) {
	small = int64(smallShare * float64(bytes))
	return small, bytes - small
}

// Or returns the limits, with those of d for each that is 0.
func (l Limits) Or(d Limits) Limits {
	return Limits{
		Connections:          cmp.Or(l.Connections, d.Connections),
		PeerConnections:      cmp.Or(l.PeerConnections, d.PeerConnections),
		ReadinessConnections: cmp.Or(l.ReadinessConnections, d.ReadinessConnections),
		MetricsConnections:   cmp.Or(l.MetricsConnections, d.MetricsConnections),
		HeaderBytes:          cmp.Or(l.HeaderBytes, d.HeaderBytes),
		HeaderLines:          cmp.Or(l.HeaderLines, d.HeaderLines),
		SocketBytes:          cmp.Or(l.SocketBytes, d.SocketBytes),
		SmallBodies:          cmp.Or(l.SmallBodies, d.SmallBodies),
		LargeBodies:          cmp.Or(l.LargeBodies, d.LargeBodies),
		LargeDecodes:         cmp.Or(l.LargeDecodes, d.LargeDecodes),
		BodyIdle:             cmp.Or(l.BodyIdle, d.BodyIdle),
		BodyGrace:            cmp.Or(l.BodyGrace, d.BodyGrace),
		BodyRate:             cmp.Or(l.BodyRate, d.BodyRate),
		WriteIdle:            cmp.Or(l.WriteIdle, d.WriteIdle),
	}
}
