// SPDX-License-Identifier: MIT

package entry

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestADetourAvoidsBusyPeersAndTheLeader guards against a second read that waits in the same peer as the first one, or in the
// leader whose silence is in question.
func TestADetourAvoidsBusyPeersAndTheLeader(t *testing.T) {
	c := quicktest.New(t)
	var p peerTable
	stopRelaying := p.startRelaying("a")
	order := []string{"leader", "a", "b", "c"}
	p.sortForDetour(order, "leader")
	c.Assert(order, quicktest.DeepEquals, []string{"b", "c", "leader", "a"})
	stopRelaying()
	order = []string{"a", "b"}
	p.sortForDetour(order, "leader")
	c.Assert(order, quicktest.DeepEquals, []string{"a", "b"})
}
