// SPDX-License-Identifier: MIT

package trial

import (
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

// TestDrainIsCheckedAgainstBudgetsOfItsInstanceOnly guards against a false violation for a budget that doesn't cover the
// drained instance. Worker 1 is in maintenance and worker 2 dies, which exceeds the budget of their pool; then a runner of another
// pool begins to drain. The cell "after order, instances-die" of the fleet matrix hits this in about one of 200 runs.
func TestDrainIsCheckedAgainstBudgetsOfItsInstanceOnly(t *testing.T) {
	c := quicktest.New(t)
	tables := fleet.New()
	tables.Configuration = fleet.Configuration{Pools: []fleet.Pool{{Name: "batch", MinAvailable: 1}, {Name: "service", MinAvailable: 1}}}
	put := func(id, pool string, state fleet.InstanceState, down bool) *fleet.Instance {
		return tables.Instances.Put(id, fleet.Instance{ID: id, Pool: pool, DataCentre: "dc", State: state, Down: down})
	}
	put("worker-1", "batch", fleet.InstanceActing, true)
	died := put("worker-2", "batch", fleet.InstanceServing, true)
	put("runner-1", "service", fleet.InstanceServing, false)
	taken := put("runner-2", "service", fleet.InstanceDraining, false)
	h := History{MinMargin: make(map[string]int)}
	h.recordDrain(tables, taken)
	c.Assert(h.MinMargin, quicktest.DeepEquals, map[string]int{"pool service": 0})
	h.recordDrain(tables, died) // draining this one would exceed its own budget
	c.Assert(h.MinMargin["pool batch"], quicktest.Equals, -1)
}
