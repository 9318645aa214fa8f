// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"time"

	"rackstep.dev/event"
)

// Figures of telling what the link carries.
const (
	trafficEvery = 5 * time.Second
	// trafficShare is the part of the link from which an entry tells it although it does not schedule.
	trafficShare = 0.1
	// bytesOfMbit are the bytes of a megabit.
	bytesOfMbit = 1e6 / 8
)

// tellTraffic tells by kind what the calls to the platform and to workers take on the link, until the context ends.
func (n *Node) tellTraffic(ctx context.Context) error {
	t := time.NewTicker(trafficEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.tellUses()
		}
	}
}

func (n *Node) tellUses() {
	uses := n.traffic.Reset()
	share := n.linkShare(float64(uses.Bytes()) / trafficEvery.Seconds())
	if n.metrics.scope != nil {
		for kind, u := range uses {
			scope := n.metrics.scope.Tagged(map[string]string{"call": kind})
			scope.Counter("calls").Inc(u.Calls)
			scope.Counter("call_bytes").Inc(u.Bytes())
		}
		n.metrics.scope.Gauge("link_share").Update(share)
	}
	if n.IsLeader() || share > trafficShare {
		n.Events.Emit(event.LinkUsed, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("share=%.2f over=%v calls/sent/received: %v", share, trafficEvery, uses))
	}
}

// linkShare returns which part of the link so many bytes a second are, 0 if the settings tell of no link.
func (n *Node) linkShare(bytes float64) float64 {
	if n.Settings.Limits.LinkMbps <= 0 {
		return 0
	}
	return bytes / (n.Settings.Limits.LinkMbps * bytesOfMbit)
}
