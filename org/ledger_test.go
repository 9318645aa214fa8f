// SPDX-License-Identifier: MIT

package org

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
)

func need(milliCPU, memoryMB int) job.Need { return job.Need{MilliCPU: milliCPU, MemoryMB: memoryMB} }

func ledgerOf(c *quicktest.C, limit job.Need) *Ledger {
	l := new(Ledger)
	l.SetDirectory(directory(c, Organisation{Name: "a", Weight: 2, Cap: limit}, Organisation{Name: "free", Weight: 1}))
	return l
}

func TestACapIsNeverPassed(t *testing.T) {
	for _, test := range [...]struct {
		name    string
		limit   job.Need
		held    []job.Need
		unknown job.Need
		more    job.Need
		runs    int
		want    bool
	}{
		{"under it", need(4000, 0), []job.Need{need(3000, 0)}, need(0, 0), need(1000, 0), 1, true},
		{"over it", need(4000, 0), []job.Need{need(3001, 0)}, need(0, 0), need(1000, 0), 1, false},
		{"over it in memory", need(0, 100), []job.Need{need(0, 60)}, need(0, 0), need(9000, 41), 1, false},
		{"over in memory, and none is asked for", need(4000, 100), []job.Need{need(0, 160)}, need(0, 0), need(1000, 0), 1, true},
		{"with a GPU", job.Need{GPU: 1}, []job.Need{{GPU: 1}}, need(0, 0), job.Need{GPU: 1}, 1, false},
		{"no limit", need(0, 0), []job.Need{need(1e9, 1e9)}, need(0, 0), need(1e9, 1e9), 9, true},
		{"larger than it, alone", need(4000, 0), nil, need(0, 0), need(9000, 0), 1, true},
		{"larger than it, beside another", need(4000, 0), []job.Need{need(1, 0)}, need(0, 0), need(9000, 0), 1, false},
		{"larger than it, perhaps beside another", need(4000, 0), nil, need(1, 0), need(9000, 0), 1, false},
		{"what nobody has told of counts", need(4000, 0), []job.Need{need(1000, 0)}, need(2001, 0), need(1000, 0), 1, false},
		{"a gang needs it for all", need(4000, 0), []job.Need{need(1000, 0)}, need(0, 0), need(1000, 0), 4, false},
		{"a gang that fits", need(4000, 0), []job.Need{need(1000, 0)}, need(0, 0), need(1000, 0), 3, true},
		{"a gang larger than it does not run alone", need(4000, 0), nil, need(0, 0), need(3000, 0), 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			l := ledgerOf(c, test.limit)
			for _, n := range test.held {
				l.Acquire("a", n)
			}
			d := l.Draft(func(string) job.Need { return test.unknown })
			c.Assert(d.Admits("a", test.more, test.runs), quicktest.Equals, test.want)
			c.Assert(d.Admits("", test.more, test.runs), quicktest.IsTrue, quicktest.Commentf("nobody's work is bounded by no cap"))
			c.Assert(d.Admits("free", test.more, test.runs), quicktest.IsTrue)
		})
	}
	var none *Draft
	quicktest.Assert(t, none.Admits("a", need(1, 1), 1), quicktest.IsTrue)
}

func TestADraftCountsWhatItHasTaken(t *testing.T) {
	c := quicktest.New(t)
	l := ledgerOf(c, need(3000, 0))
	d := l.Draft(nil)
	for range 3 {
		c.Assert(d.Admits("a", need(1000, 0), 1), quicktest.IsTrue)
		d.Acquire("a", need(1000, 0))
	}
	c.Assert(d.Admits("a", need(1000, 0), 1), quicktest.IsFalse)
	d.Release("a", need(1000, 0))
	c.Assert(d.Admits("a", need(1000, 0), 1), quicktest.IsTrue)
	held, runs := l.Held("a")
	c.Assert(held, quicktest.Equals, need(0, 0))
	c.Assert(runs, quicktest.Equals, 0)
}

func TestALoweredCapStopsNothingAndHoldsOrdersBack(t *testing.T) {
	c := quicktest.New(t)
	l := ledgerOf(c, need(3000, 0))
	l.Acquire("a", need(1000, 0))
	l.Acquire("a", need(1000, 0))
	c.Assert(l.OverCap("a", need(1000, 0)), quicktest.IsFalse)
	l.SetDirectory(directory(c, Organisation{Name: "a", Weight: 2, Cap: need(1500, 0)}))
	c.Assert(l.OverCap("a", need(1000, 0)), quicktest.IsTrue)
	l.Release("a", need(1000, 0))
	c.Assert(l.OverCap("a", need(1000, 0)), quicktest.IsFalse)
	l.SetDirectory(directory(c, Organisation{Name: "a", Weight: 2, Cap: need(500, 0)}))
	c.Assert(l.OverCap("a", need(1000, 0)), quicktest.IsFalse, quicktest.Commentf("it is alone"))
}

func TestAnOrganisationThatWasTakenAwayKeepsItsCap(t *testing.T) {
	c := quicktest.New(t)
	l := ledgerOf(c, need(1000, 0))
	l.Acquire("a", need(1000, 0))
	l.SetDirectory(directory(c))
	c.Assert(l.Draft(nil).Admits("a", need(1000, 0), 1), quicktest.IsFalse)
	c.Assert(l.HasCaps(), quicktest.IsTrue)
}

// TestTheLedgerIsWhatWasTakenAndNotReturned compares random histories with a plain sum.
func TestTheLedgerIsWhatWasTakenAndNotReturned(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	l := ledgerOf(c, need(1000, 1000))
	runs := make(map[string][]job.Need)
	for range 5000 {
		name := []string{"a", "free", "gone", ""}[r.IntN(4)]
		if held := runs[name]; len(held) > 0 && r.IntN(2) == 0 {
			l.Release(name, held[0])
			runs[name] = held[1:]
		} else {
			n := need(r.IntN(100), r.IntN(100))
			l.Acquire(name, n)
			runs[name] = append(runs[name], n)
		}
		var sum job.Need
		for _, n := range runs[name] {
			sum = sum.Plus(n)
		}
		held, count := l.Held(name)
		if name == "" {
			sum, count = job.Need{}, len(runs[name])
		}
		c.Assert(held, quicktest.Equals, sum)
		c.Assert(count, quicktest.Equals, len(runs[name]))
	}
}

func TestWhatIsBeyondTheRate(t *testing.T) {
	c := quicktest.New(t)
	o := &Organisation{Name: "a", Weight: 3}
	var r Rate
	at := func(ms int) time.Time { return time.UnixMilli(int64(1e6 + ms)) }
	var beyond []bool
	for _, ms := range [...]int{0, 100, 200, 300, 400, 999, 1000, 1001, 1100, 1150} {
		beyond = append(beyond, r.Exceeded(o, at(ms)))
	}
	c.Assert(beyond, quicktest.DeepEquals, []bool{false, false, false, true, true, true, false, true, false, true})
	c.Assert(r.Exceeded(nil, at(0)), quicktest.IsFalse)
	r.Forget(nil)
	c.Assert(r.sent, quicktest.HasLen, 0)
}

func TestTheDominantPart(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(Dominant(need(10, 30), need(100, 100)), quicktest.Equals, 0.3)
	c.Assert(Dominant(need(10, 30), need(100, 0)), quicktest.Equals, 0.1)
	l := ledgerOf(c, need(0, 0))
	l.Acquire("a", need(50, 10))
	d := l.Draft(nil)
	c.Assert(d.Share("a", need(100, 100)), quicktest.Equals, 0.25)
	d.Acquire("a", need(0, 90))
	c.Assert(d.Share("a", need(100, 100)), quicktest.Equals, 0.5)
	c.Assert(d.Share("", need(100, 100)), quicktest.Equals, 0.0)
}
