// SPDX-License-Identifier: MIT

package upkeep

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestNext(t *testing.T) {
	all := []Candidate{
		{Name: "off", Pool: "h"},
		{Name: "idle", Pool: "a"},
		{Name: "idle2", Pool: "a"},
		{Name: "busy", Pool: "a", Runs: 4},
		{Name: "lasting", Pool: "b", Runs: 2, Lasting: 2},
	}
	early := Wave{Most: 3, Left: 5, Within: time.Minute, Each: 2 * time.Second}
	for _, test := range [...]struct {
		name    string
		wave    Wave
		surplus int
		want    string
	}{
		{"what nobody needs goes at once", early, 2, "idle idle2 off"},
		{"what a pool needs waits", early, 1, "idle off"},
		{"one at a time goes on while nothing is idle", Wave{Most: 3, Left: 5, Out: 1, Within: time.Minute, Each: 2 * time.Second}, 0, "off"},
		{"faster when time runs out", Wave{Most: 3, Left: 5, Within: time.Minute, Since: 40 * time.Second, Each: 2 * time.Second}, 0, "off idle idle2 busy"},
		{"all that can be emptied when it is late", Wave{Most: 2, Left: 5, Within: time.Minute, Since: 50 * time.Second, Each: 2 * time.Second}, 0, "off idle idle2 busy"},
		{"no more than twice those that may be away", Wave{Most: 1, Left: 5, Out: 1, Within: time.Minute, Since: time.Hour}, 2, "idle"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			for _, x := range Next(test.wave, all, map[string]int{"a": test.surplus, "h": 1}) {
				got += " " + x.Name
			}
			quicktest.Assert(t, got, quicktest.Equals, " "+test.want)
		})
	}
}

// TestAWaveIsInTimeAtItsPace plays a wave without idle instances: each takes as long as is planned for.
func TestAWaveIsInTimeAtItsPace(t *testing.T) {
	for _, n := range []int{1, 7, 27, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := Wave{Most: 10, Left: n, Within: 30 * time.Second, Each: 2 * time.Second}
			var waiting []Candidate
			for i := range n {
				waiting = append(waiting, Candidate{Name: fmt.Sprint("m", i), Pool: "a", Runs: 1})
			}
			var ends []time.Duration
			for ; w.Left > 0; w.Since += 100 * time.Millisecond {
				for len(ends) > 0 && ends[0] <= w.Since {
					ends = ends[1:]
					w.Left--
					w.Out--
				}
				next := Next(w, waiting, nil)
				waiting = waiting[len(next):]
				w.Out += len(next)
				for range next {
					ends = append(ends, w.Since+w.Each+emptyFor)
				}
			}
			quicktest.Assert(t, w.Since <= w.Within, quicktest.IsTrue, quicktest.Commentf("took %v", w.Since))
		})
	}
}
