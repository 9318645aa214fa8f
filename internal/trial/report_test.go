// SPDX-License-Identifier: MIT

package trial

import (
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

// TestATakeOutIsJudgedByTheBudgetsOfItsInstance has a pool under its budget by a death, as cell "after order, instances-die" of
// the fleet matrix does in one of some two hundred runs: worker 1 is maintained, worker 2 dies, then a runner is taken out.
func TestATakeOutIsJudgedByTheBudgetsOfItsInstance(t *testing.T) {
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
	h.recordTakeOut(tables, taken)
	c.Assert(h.MinMargin, quicktest.DeepEquals, map[string]int{"pool service": 0})
	h.recordTakeOut(tables, died) // had it been taken out, its own budget would be broken
	c.Assert(h.MinMargin["pool batch"], quicktest.Equals, -1)
}
