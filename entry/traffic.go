// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"time"

	"rackstep.dev/event"
)

// Settings of the reports on the link's usage.
const (
	trafficInterval = 5 * time.Second
	// followerTrafficShare is the fraction of the link's capacity above which an entry that is not the leader emits the event too.
	followerTrafficShare = 0.1
	// bytesPerMegabit converts megabits to bytes.
	bytesPerMegabit = 1e6 / 8
)

// reportTraffic reports the traffic of calls to the platform and to workers, by kind of call, until the context ends.
func (n *Node) reportTraffic(ctx context.Context) error {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			n.reportTrafficOnce()
		}
	}
}

// reportTrafficOnce updates the metrics, and emits the event link-used when this entry is the leader or uses much of the link.
func (n *Node) reportTrafficOnce() {
	uses := n.traffic.Reset()
	share := n.linkShare(float64(uses.Bytes()) / trafficInterval.Seconds())
	if n.metrics.scope != nil {
		for kind, u := range uses {
			scope := n.metrics.scope.Tagged(map[string]string{"call": kind})
			scope.Counter("calls").Inc(u.Calls)
			scope.Counter("call_bytes").Inc(u.Bytes())
		}
		n.metrics.scope.Gauge("link_share").Update(share)
	}
	if n.IsLeader() || share > followerTrafficShare {
		n.Events.Emit(event.LinkUsed, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("share=%.2f over=%v calls/sent/received: %v", share, trafficInterval, uses))
	}
}

// linkShare returns the fraction of the link's capacity that the bytes per second use, or 0 when the settings contain no capacity.
func (n *Node) linkShare(bytesPerSecond float64) float64 {
	if n.Settings.Limits.LinkMbps <= 0 {
		return 0
	}
	return bytesPerSecond / (n.Settings.Limits.LinkMbps * bytesPerMegabit)
}
