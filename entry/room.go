// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"rackstep.dev/peer/peerpb"
)

// liveShare is the fraction of the machine's memory up to which a leader's live data leaves room for large jobs. The rest is for ordinary
// jobs, for clients and for what the garbage collector has not freed yet.
const liveShare = 0.35

// roomTimeout limits the question to the leader whether it has room.
const roomTimeout = 600 * time.Millisecond

// hasRoom reports whether this entry, as the leader, has room for large jobs.
func (n *Node) hasRoom() bool {
	limit := liveShare * float64(n.Settings.Limits.MemoryMB) * (1 << 20)
	samples := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
	runtimemetrics.Read(samples)
	return limit == 0 || float64(samples[0].Value.Uint64()) < limit
}

// leaderHasRoom asks the leader, which may be this entry, whether it has room for large jobs. Without an answer it has none.
func (n *Node) leaderHasRoom(ctx context.Context) bool {
	leader := n.elector.Latest().Address
	if leader == n.elector.Address {
		return n.hasRoom()
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	var a peerpb.JobAnswer
	err := n.callPeer(ctx, leader, &peerpb.Open{Kind: &peerpb.Open_Job{Job: &peerpb.JobQuery{}}}, &a)
	return err == nil && a.Known
}

// asksForRoom reports whether a query asks for room: it names neither a job nor a queue.
func asksForRoom(q *peerpb.JobQuery) bool { return q.Id == "" && q.Queue == "" }
