// SPDX-License-Identifier: MIT

package maintenance

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestPoolLoadsReserveForBursts guards against a wave that takes instances, of the headroom too, that a burst needs before they are back.
func TestPoolLoadsReserveForBursts(t *testing.T) {
	const horizon = 4 * time.Second
	now := start.Add(time.Minute)
	pools := func() []Pool {
		return []Pool{
			{Name: "a", Want: 5, Have: 10},
			{Name: "b", Want: 2, Have: 10},
			{Name: "c", Want: 12, Have: 10},
			{Name: "h", Headroom: true, Have: 20},
		}
	}
	for _, test := range [...]struct {
		name   string
		bursts Bursts
		want   map[string]PoolLoad
	}{
		{
			"no burst", Bursts{},
			map[string]PoolLoad{"a": {Surplus: 5}, "b": {Surplus: 8}, "c": {}, "h": {Surplus: 18}},
		},
		{
			"a burst that needs a part of the headroom",
			Bursts{Pools: map[string]*Burst{"a": {Active: true, Began: now.Add(-time.Second), Ended: true, Need: 15}}},
			map[string]PoolLoad{"a": {Surplus: 5, Burst: true}, "b": {Surplus: 8}, "c": {}, "h": {Surplus: 13, Burst: true, BurstSurplus: 13}},
		},
		{
			"a burst that needs more than the headroom",
			Bursts{Pools: map[string]*Burst{"a": {Active: true, Began: now.Add(-time.Second), Ended: true, Need: 34}}},
			map[string]PoolLoad{"a": {Surplus: 5, Burst: true}, "b": {Surplus: 4}, "c": {}, "h": {Burst: true}},
		},
		{
			"a burst that is expected before an instance is back",
			Bursts{
				Pools:    map[string]*Burst{"a": {Began: now.Add(-9 * time.Second), Ended: true, Need: 15}, "b": {Began: now.Add(-2 * time.Second), Need: 15, Ended: true}},
				Interval: 5 * time.Second, Last: "b", SecondRound: true,
			},
			map[string]PoolLoad{"a": {Surplus: 5, Burst: true, BurstIn: 3 * time.Second}, "b": {Surplus: 8}, "c": {}, "h": {Surplus: 18, Burst: true, BurstIn: 3 * time.Second, BurstSurplus: 13}},
		},
		{
			"a steady load is no burst",
			Bursts{Pools: map[string]*Burst{"a": {Active: true, Began: now.Add(-time.Minute), Need: 15}}},
			map[string]PoolLoad{"a": {Surplus: 5}, "b": {Surplus: 8}, "c": {}, "h": {Surplus: 18}},
		},
		{
			"either of two pools may be next",
			Bursts{
				Pools:    map[string]*Burst{"a": {}, "b": {}, "c": {Began: now.Add(-2 * time.Second), Need: 8, Ended: true}},
				Interval: 5 * time.Second, Last: "c",
			},
			map[string]PoolLoad{"a": {Surplus: 5}, "b": {Surplus: 8}, "c": {}, "h": {Surplus: 18}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			quicktest.Assert(t, PoolLoads(pools(), &test.bursts, nil, horizon, now), quicktest.DeepEquals, test.want)
		})
	}
}

// TestLastingTasksCountBesideABurst guards against a burst that is thought to fit into instances that lasting tasks fill.
func TestLastingTasksCountBesideABurst(t *testing.T) {
	b := Bursts{Pools: map[string]*Burst{"a": {Active: true, Began: start, Ended: true, Need: 6}}}
	pools := []Pool{{Name: "a", Want: 5, Have: 10}, {Name: "h", Headroom: true, Have: 4}}
	got := PoolLoads(pools, &b, map[string]float64{"a": 5}, 4*time.Second, start)
	quicktest.Assert(t, got["a"].BurstSurplus, quicktest.Equals, 0)
	quicktest.Assert(t, got["h"].BurstSurplus, quicktest.Equals, 3)
	quicktest.Assert(t, pools[0].Want, quicktest.Equals, 5.0, quicktest.Commentf("the input is left as it is"))
}
