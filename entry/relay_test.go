// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestADetourAvoidsBusyPeersAndTheLeader guards against a second read that waits in the same peer as the first one, or in the
// leader whose silence it is to examine.
func TestADetourAvoidsBusyPeersAndTheLeader(t *testing.T) {
	c := quicktest.New(t)
	var p peerTable
	ended := p.began("a")
	order := []string{"leader", "a", "b", "c"}
	p.sortForDetour(order, "leader")
	c.Assert(order, quicktest.DeepEquals, []string{"b", "c", "leader", "a"})
	ended()
	order = []string{"a", "b"}
	p.sortForDetour(order, "leader")
	c.Assert(order, quicktest.DeepEquals, []string{"a", "b"})
}
