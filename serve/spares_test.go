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
	var x spares
	all := []string{"a", "b", "c"}
	c.Assert(x.byExpectation("s", all, now), quicktest.DeepEquals, all) // nobody has told anything
	x.tell("s", "a", -3, now)
	x.tell("s", "b", 1, now)
	x.tell("s", "c", 9, now)
	c.Assert(x.byExpectation("s", all, now), quicktest.DeepEquals, []string{"c", "b"})
	c.Assert(x.byExpectation("other", all, now), quicktest.DeepEquals, all)
	x.use("s", "b")
	c.Assert(x.byExpectation("s", all, now), quicktest.DeepEquals, []string{"c"})
	c.Assert(x.byExpectation("s", all, now.Add(time.Second)), quicktest.HasLen, 3)
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
		{-2, -1, 0, "near"}, // not by enough
		{-5, -1, time.Second, "near"},
		{-1, -5, 0, "near"},
	} {
		var x spares
		x.tell("s", "near", test.near, now.Add(test.age))
		x.tell("s", "far", test.far, now)
		places := []string{"near", "far"}
		x.shortestFirst("s", places, now.Add(test.age))
		c.Assert(places[0], quicktest.Equals, test.want, quicktest.Commentf("%+v", test))
		c.Assert(places, quicktest.HasLen, 2)
	}
	var x spares
	places := []string{"near", "far"}
	x.tell("s", "far", 5, now)
	x.shortestFirst("s", places, now)
	c.Assert(places[0], quicktest.Equals, "near") // nothing is known of its queue
}

func TestAnEntrysOwnRegionComesFirst(t *testing.T) {
	c := quicktest.New(t)
	v := &View{ByDistance: []string{"a", "b", "c", "d"}, RegionSize: 2}
	c.Assert(v.nearby([]string{"a", "b", "c"}), quicktest.Equals, 2)
	c.Assert(v.nearby([]string{"b", "d"}), quicktest.Equals, 1)
	c.Assert(v.nearby([]string{"c", "d"}), quicktest.Equals, 2) // none is near
}
