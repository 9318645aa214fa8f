// SPDX-License-Identifier: MIT

package upkeep

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
)

func TestMoves(t *testing.T) {
	pools := func(a, keepA float64, haveA int, b float64, haveB, spare int) []Pool {
		return []Pool{{Name: "a", Want: a, Min: keepA, Have: haveA}, {Name: "b", Want: b, Min: b, Have: haveB}, {Name: "spare", Headroom: true, Have: spare}}
	}
	for _, test := range [...]struct {
		name      string
		pools     []Pool
		instances []Instance
		want      string
	}{
		{"what lacks gets from the headroom first", pools(2, 2, 1, 1, 3, 1), []Instance{{Name: "b1", Pool: "b"}, {Name: "s1", Pool: "spare"}}, "[{s1 spare a} {b1 b spare}]"},
		{"then from a pool with more than it keeps", pools(2, 2, 1, 1, 2, 0), []Instance{{Name: "b1", Pool: "b", Runs: 3}, {Name: "b2", Pool: "b"}}, "[{b2 b a}]"},
		{"not from one that lately needed it", pools(1, 3, 3, 2, 1, 0), []Instance{{Name: "a1", Pool: "a"}}, "[]"},
		{"lasting tasks hold their instance", pools(2, 2, 1, 1, 3, 0), []Instance{{Name: "b1", Pool: "b", Lasting: 1}}, "[]"},
		{"nor one that is on its way", pools(2, 2, 1, 1, 3, 0), []Instance{{Name: "b1", Pool: "b", Fixed: true}}, "[]"},
		{"idle ones go to the headroom", pools(1, 1, 2, 1, 1, 0), []Instance{{Name: "a1", Pool: "a"}, {Name: "a2", Pool: "a"}}, "[{a1 a spare}]"},
		{"busy ones do not", pools(1, 1, 2, 1, 1, 0), []Instance{{Name: "a1", Pool: "a", Runs: 1}}, "[]"},
		{"the neediest comes first", pools(4, 4, 3, 4, 1, 1), []Instance{{Name: "s1", Pool: "spare"}}, "[{s1 spare b}]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			quicktest.Assert(t, fmt.Sprint(Moves(test.pools, test.instances)), quicktest.Equals, test.want)
		})
	}
}

func TestLabelsThatAreLackedComeFirst(t *testing.T) {
	instances := []Instance{
		{Name: "a1", Pool: "spare", Labels: []string{"red"}},
		{Name: "b1", Pool: "spare", Labels: []string{"blue"}},
		{Name: "b2", Pool: "spare", Labels: []string{"blue"}},
	}
	for _, test := range [...]struct {
		name  string
		want  float64
		lacks map[string]int
		moves string
	}{
		{"no label is asked for", 2, nil, "[{a1 spare p}]"},
		{"the one that is lacked", 2, map[string]int{"blue": 1}, "[{b1 spare p}]"},
		{"beyond what the pool wants in all", 1, map[string]int{"blue": 2}, "[{b1 spare p} {b2 spare p}]"},
		{"any, beyond what the pool wants in all", 1, map[string]int{"": 2}, "[{a1 spare p} {b1 spare p}]"},
		{"none has it", 1, map[string]int{"green": 2}, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			pools := []Pool{{Name: "p", Want: test.want, Min: 5, Have: 1, Missing: test.lacks}, {Name: "spare", Headroom: true, Have: 3}}
			quicktest.Assert(t, fmt.Sprint(Moves(pools, instances)), quicktest.Equals, test.moves)
		})
	}
}

func TestPaceGoesDownQuicklyAndUpGently(t *testing.T) {
	c := quicktest.New(t)
	p := 100
	for range 5 {
		p = Pace(p, 1.4)
	}
	c.Assert(p, quicktest.Equals, 0)
	c.Assert(Pace(40, 0.75), quicktest.Equals, 40)
	c.Assert(Pace(40, 0.3), quicktest.Equals, 50)
	c.Assert(Pace(100, 0.3), quicktest.Equals, 100)
	c.Assert(Pace(PaceUnknown, 0.3), quicktest.Equals, paceLeast)
}
