// SPDX-License-Identifier: MIT

package maintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAllot guards against a pool keeping all instances during a shortage because it wanted them first, and against moves that do not pay.
func TestAllot(t *testing.T) {
	terms := ShiftTerms{Delay: 1650 * time.Millisecond, PayOff: 4 * time.Second}
	steady := func(n float64) Class { return Class{Instances: n, For: terms.PayOff, Value: 1} }
	backlog := func(n float64, within time.Duration) Class { return Class{Instances: n, For: within, Value: 1} }
	claim := func(movable int, timely ...Class) *Claim {
		return &Claim{Lasting: 10, Timely: timely, LateValue: 0.07, Movable: movable, Emptying: time.Second / 2}
	}
	for _, test := range [...]struct {
		name                string
		wantA, wantB        float64
		haveA, haveB, spare int
		a, b                *Claim
		fromA, toB          [2]int // bounds of the instances that a gives and that b gets
	}{
		{"hopeless work keeps nothing that timely work needs", 4500, 500, 270, 20, 0, claim(270), claim(20, steady(150)), [2]int{140, 141}, [2]int{140, 141}},
		{"both are short: the one with little gets a part", 900, 500, 270, 20, 0, claim(270, steady(200)), claim(20, steady(200)), [2]int{60, 90}, [2]int{60, 90}},
		{"both are short alike: nothing moves", 900, 500, 150, 140, 0, claim(150, steady(300)), claim(140, steady(300)), [2]int{0, 0}, [2]int{0, 0}},
		{"what arrives too late for a move moves nothing from timely work", 900, 500, 270, 20, 0, claim(270, steady(260)), claim(20, backlog(200, time.Second)), [2]int{0, 0}, [2]int{0, 0}},
		{"the last second of a burst keeps what it can finish", 300, 500, 100, 60, 0, claim(100, backlog(90, 3*time.Second)), claim(60, steady(70)), [2]int{0, 0}, [2]int{0, 0}},
		{"lasting tasks are a floor", 100, 500, 12, 100, 0, claim(12), claim(100, steady(400)), [2]int{2, 2}, [2]int{2, 2}},
		{"the headroom goes first", 200, 500, 100, 20, 20, claim(100, steady(90)), claim(20, steady(30)), [2]int{0, 0}, [2]int{20, 20}},
		{"equal gains go by what is lacked, not by name", 100, 100, 50, 20, 20, claim(50), claim(20), [2]int{0, 0}, [2]int{20, 20}},
		{"what can't move stays", 4500, 500, 270, 20, 0, claim(7), claim(20, steady(150)), [2]int{7, 7}, [2]int{7, 7}},
		{"no more than it wants", 4500, 40, 270, 20, 0, claim(270), claim(20, steady(150)), [2]int{20, 20}, [2]int{20, 20}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pools := []Pool{
				{Name: "a", Want: test.wantA, Min: test.wantA, Have: test.haveA},
				{Name: "b", Want: test.wantB, Min: test.wantB, Have: test.haveB},
				{Name: "off", Headroom: true, Have: test.spare},
			}
			claims := map[string]*Claim{"a": test.a, "b": test.b, "off": {Movable: test.spare}}
			shifts := Allot(slices.Clone(pools), claims, terms)
			fromA, toB := shifted(shifts)
			comment := quicktest.Commentf("shifts %+v", shifts)
			quicktest.Check(t, fromA >= test.fromA[0] && fromA <= test.fromA[1], quicktest.IsTrue, comment)
			quicktest.Check(t, toB >= test.toB[0] && toB <= test.toB[1], quicktest.IsTrue, comment)
			pools[0].Have -= fromA
			pools[1].Have += toB
			test.a.Movable -= fromA
			test.b.Movable += toB
			claims["off"].Movable -= toB - fromA
			quicktest.Check(t, Allot(pools, claims, terms), quicktest.HasLen, 0) // once done, none of them is reversed
		})
	}
}

// shifted returns the numbers of instances that pool a gives and that pool b gets.
func shifted(shifts []Shift) (fromA, toB int) {
	for _, s := range shifts {
		if s.From == "a" {
			fromA += s.Instances
		}
		if s.To == "b" {
			toB += s.Instances
		}
	}
	return fromA, toB
}

// TestLateWorkGetsWhatNobodyUses guards against instances that stay switched off while work waits, because what late work yields is less than the price of a move.
func TestLateWorkGetsWhatNobodyUses(t *testing.T) {
	pools := []Pool{{Name: "a", Have: 100}, {Name: "b", Want: 500, Min: 500, Have: 20}, {Name: "off", Headroom: true, Have: 30}}
	claims := map[string]*Claim{"a": {Movable: 90}, "b": {LateValue: 0.07, Movable: 20}, "off": {Movable: 30}}
	shifts := Allot(pools, claims, ShiftTerms{Delay: 100 * time.Millisecond, PayOff: 200 * time.Millisecond})
	fromA, toB := shifted(shifts)
	quicktest.Check(t, fromA, quicktest.Equals, 90)
	quicktest.Check(t, toB, quicktest.Equals, 120)
}

// TestShort guards against limits while there is enough for all, or little or nothing lacks.
func TestShort(t *testing.T) {
	for _, test := range [...]struct {
		name        string
		want, min   float64
		have, spare int
		short       bool
	}{
		{"room for all", 50, 50, 40, 60, false},
		{"just enough", 50, 50, 40, 10, false},
		{"a little less", 52, 52, 40, 10, false},
		{"much less", 60, 20, 40, 10, true},
		{"what it keeps counts as well", 20, 60, 40, 10, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pools := []Pool{{Name: "a", Want: test.want, Min: test.min, Have: test.have}, {Name: "off", Headroom: true, Have: test.spare}}
			quicktest.Assert(t, Short(pools, 0.05), quicktest.Equals, test.short)
		})
	}
}

// TestAllotKeepsItsLimits guards against targets that rise, instances that are granted twice or can't move, and lasting tasks that lose theirs.
func TestAllotKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pools, instances := drawFleet(r)
		claims := make(map[string]*Claim)
		for i := range pools {
			c := &Claim{Lasting: rapid.Float64Range(0, 4).Draw(r, "lasting"), LateValue: 0.07, Emptying: time.Second / 2}
			for range rapid.IntRange(0, 3).Draw(r, "classes") {
				c.Timely = append(c.Timely, Class{Instances: rapid.Float64Range(0, 8).Draw(r, "instances"), For: time.Duration(rapid.IntRange(0, 5000).Draw(r, "for")) * time.Millisecond, Value: rapid.Float64Range(0, 2).Draw(r, "value")})
			}
			claims[pools[i].Name] = c
		}
		for i := range instances {
			if c := claims[instances[i].Pool]; c != nil && !instances[i].Fixed && instances[i].Lasting == 0 && !instances[i].Drained {
				c.Movable++
			}
		}
		limited := slices.Clone(pools)
		shifts := Allot(limited, claims, ShiftTerms{Delay: 1500 * time.Millisecond, PayOff: 4 * time.Second})
		change := make(map[string]int)
		given := make(map[string]int)
		for _, s := range shifts {
			change[s.From] -= s.Instances
			change[s.To] += s.Instances
			given[s.From] += s.Instances
			if !pays(s.Gain, s.Loss) {
				r.Fatalf("%+v does not pay", s)
			}
		}
		for i := range pools {
			before, after := &pools[i], &limited[i]
			granted := before.Have + change[before.Name]
			switch {
			case before.Headroom:
			case given[before.Name] > claims[before.Name].Movable:
				r.Fatalf("%s gives %d of %d", before.Name, given[before.Name], claims[before.Name].Movable)
			case after.Want > before.Want || after.Min > before.Min || after.SoonNeed > before.SoonNeed || after.LongTermNeed > before.LongTermNeed:
				r.Fatalf("a target of %s rose: %+v, before %+v", before.Name, after, before)
			case change[before.Name] < 0 && float64(granted) < min(claims[before.Name].Lasting, max(before.Want, before.Min)):
				r.Fatalf("%s keeps %d for %.1f lasting", before.Name, granted, claims[before.Name].Lasting)
			}
		}
	})
}

// BenchmarkAllot measures the allocation for 6,000 instances in five pools that all want more.
func BenchmarkAllot(b *testing.B) {
	var pools []Pool
	claims := make(map[string]*Claim)
	for i := range 5 {
		name := string(rune('a' + i))
		pools = append(pools, Pool{Name: name, Want: 6000, Min: 6000, Have: 1200})
		claims[name] = &Claim{Lasting: 50, Timely: []Class{{Instances: 400 * float64(i), For: 4 * time.Second, Value: 1}}, LateValue: 0.07, Movable: 1200}
	}
	for b.Loop() {
		Allot(slices.Clone(pools), claims, ShiftTerms{Delay: 1650 * time.Millisecond, PayOff: 4 * time.Second})
	}
}
