// SPDX-License-Identifier: MIT

package serve

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestWhatWasToldOfFreeSlotsOrdersTheSearchAndGrowsOld(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(0, 0)
	var table freeSlotTable
	all := []string{"a", "b", "c"}
	c.Assert(table.byEstimate("s", all, now), quicktest.DeepEquals, all) // no reports yet
	table.report("s", "a", -3, now)
	table.report("s", "b", 1, now)
	table.report("s", "c", 9, now)
	c.Assert(table.byEstimate("s", all, now), quicktest.DeepEquals, []string{"c", "b"})
	c.Assert(table.byEstimate("other", all, now), quicktest.DeepEquals, all)
	table.consume("s", "b")
	c.Assert(table.byEstimate("s", all, now), quicktest.DeepEquals, []string{"c"})
	c.Assert(table.byEstimate("s", all, now.Add(time.Second)), quicktest.HasLen, 3)
}

func TestARequestWaitsInAShorterQueueOnlyWhenThatIsWorthTheRelay(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(0, 0)
	for _, test := range [...]struct {
		near, far int
		age       time.Duration
		want      string
	}{
		{-5, -1, 0, "far"},
		{-2, -1, 0, "near"}, // the gain is below minRelayGain
		{-5, -1, time.Second, "near"},
		{-1, -5, 0, "near"},
	} {
		var table freeSlotTable
		table.report("s", "near", test.near, now.Add(test.age))
		table.report("s", "far", test.far, now)
		dataCentres := []string{"near", "far"}
		table.preferShortestQueue("s", dataCentres, now.Add(test.age))
		c.Assert(dataCentres[0], quicktest.Equals, test.want, quicktest.Commentf("%+v", test))
		c.Assert(dataCentres, quicktest.HasLen, 2)
	}
	var table freeSlotTable
	dataCentres := []string{"near", "far"}
	table.report("s", "far", 5, now)
	table.preferShortestQueue("s", dataCentres, now)
	c.Assert(dataCentres[0], quicktest.Equals, "near") // no report of the nearest one
}

func TestAnEntrysOwnRegionComesFirst(t *testing.T) {
	c := quicktest.New(t)
	v := &View{ByDistance: []string{"a", "b", "c", "d"}, RegionSize: 2}
	c.Assert(v.nearbyCount([]string{"a", "b", "c"}), quicktest.Equals, 2)
	c.Assert(v.nearbyCount([]string{"b", "d"}), quicktest.Equals, 1)
	c.Assert(v.nearbyCount([]string{"c", "d"}), quicktest.Equals, 2) // none is in the region
}
