// SPDX-License-Identifier: MIT

package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	early := Wave{MaxAway: 3, Remaining: 5, Within: time.Minute, Each: 2 * time.Second}
	for _, test := range [...]struct {
		name    string
		wave    Wave
		surplus int
		want    string
	}{
		{"what nobody needs goes at once", early, 2, "idle idle2 off lasting"},
		{"what a pool needs waits", early, 1, "idle off lasting"},
		{"one at a time goes on while nothing is idle", Wave{MaxAway: 3, Remaining: 5, Out: 1, OutLasting: 1, Within: time.Minute, Each: 2 * time.Second}, 0, "off"},
		{"faster when time runs out", Wave{MaxAway: 3, Remaining: 5, Within: time.Minute, Elapsed: 40 * time.Second, Each: 2 * time.Second}, 0, "off lasting idle idle2"},
		{"all that can be emptied when it is late", Wave{MaxAway: 2, Remaining: 5, Within: time.Minute, Elapsed: 50 * time.Second, Each: 2 * time.Second}, 0, "off lasting idle idle2"},
		{"no more than twice those that may be away", Wave{MaxAway: 1, Remaining: 5, Out: 1, Within: time.Minute, Elapsed: time.Hour}, 2, "lasting"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			for _, x := range Next(test.wave, all, map[string]PoolLoad{"a": {Surplus: test.surplus}, "h": {Surplus: 1}}).Take {
				got += " " + x.Name
			}
			quicktest.Assert(t, got, quicktest.Equals, " "+test.want)
		})
	}
}

// TestNextHoldsWhatABurstNeeds guards against instances that leave a pool during its burst while the wave has time, and
// against a wave that holds them longer than it can.
func TestNextHoldsWhatABurstNeeds(t *testing.T) {
	all := []Candidate{
		{Name: "burst1", Pool: "b", Runs: 1},
		{Name: "burst0", Pool: "b"},
		{Name: "calm", Pool: "c", Runs: 7},
		{Name: "idle", Pool: "c"},
		{Name: "lasting-b", Pool: "b", Runs: 1, Lasting: 1},
		{Name: "lasting-c", Pool: "c", Runs: 2, Lasting: 2},
		{Name: "off0", Pool: "h"},
		{Name: "off1", Pool: "h"},
		{Name: "soon0", Pool: "s"},
		{Name: "soon1", Pool: "s", Runs: 1},
		{Name: "drained", Pool: "b", Drained: true},
	}
	loads := map[string]PoolLoad{
		"b": {Burst: true},
		"c": {Surplus: 1},
		"h": {Surplus: 2, Burst: true, BurstSurplus: 1},
		"s": {Surplus: 1, Burst: true, BurstIn: 3 * time.Second},
	}
	n := len(all)
	wave := func(mostAway, out int, elapsed time.Duration) Wave {
		return Wave{MaxAway: mostAway, Remaining: n + out, Out: out, Within: 40 * time.Second, Elapsed: elapsed, Each: 2 * time.Second}
	}
	for _, test := range [...]struct {
		name       string
		wave       Wave
		take, held string
	}{
		{"what nobody needs at once", wave(9, 0, 0), "drained idle off0 soon0 lasting-c", "b:2 h:1 s:1"},
		{"lasting tasks at their pace, those of the burst's pool last", wave(9, 0, 21*time.Second), "drained idle off0 soon0 lasting-c lasting-b", "b:2 h:1 s:1"},
		{"held ones when the time requires it, the calm one first", wave(9, 0, 25*time.Second), "drained idle off0 soon0 lasting-c lasting-b calm burst0 off1", ""},
		{"all when the time is over", wave(9, 0, 31*time.Second), "drained idle off0 soon0 lasting-c lasting-b calm burst0 off1 burst1 soon1", ""},
		{"a narrow wave can't hold them for long", wave(2, 0, 16*time.Second), "drained idle lasting-c soon0", ""},
		{"those beyond the number that may be away wait like the others", wave(2, 0, 0), "drained idle lasting-c", "b:2 h:2 s:1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Next(test.wave, all, loads)
			var names, held []string
			for _, x := range got.Take {
				names = append(names, x.Name)
			}
			for _, pool := range slices.Sorted(maps.Keys(got.Held)) {
				held = append(held, fmt.Sprintf("%s:%d", pool, got.Held[pool]))
			}
			quicktest.Check(t, strings.Join(names, " "), quicktest.Equals, test.take)
			quicktest.Check(t, strings.Join(held, " "), quicktest.Equals, test.held)
			quicktest.Check(t, got.HeldFor > 0, quicktest.Equals, test.held != "")
		})
	}
}

// Simulates a wave without idle instances, in which each maintenance takes as long as planned.
func TestAWaveIsInTimeAtItsPace(t *testing.T) {
	for _, n := range []int{1, 7, 27, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := Wave{MaxAway: 10, Remaining: n, Within: 30 * time.Second, Each: 2 * time.Second}
			var waiting []Candidate
			for i := range n {
				waiting = append(waiting, Candidate{Name: fmt.Sprint("m", i), Pool: "a", Runs: 1})
			}
			var ends []time.Duration
			for ; w.Remaining > 0; w.Elapsed += 100 * time.Millisecond {
				for len(ends) > 0 && ends[0] <= w.Elapsed {
					ends = ends[1:]
					w.Remaining--
					w.Out--
				}
				next := Next(w, waiting, nil).Take
				waiting = waiting[len(next):]
				w.Out += len(next)
				for range next {
					ends = append(ends, w.Elapsed+w.Each+emptyTime)
				}
			}
			quicktest.Assert(t, w.Elapsed <= w.Within, quicktest.IsTrue, quicktest.Commentf("took %v", w.Elapsed))
		})
	}
}

// Simulates a wave in which many instances hold tasks of lasting steps. Each step may miss two of its 14 tasks at a
// time, for 2.5 s each, as in logs. The other instances are soon empty.
func TestAWaveWithLastingTasksIsInTime(t *testing.T) {
	const (
		instances, holding, steps, tasks = 550, 160, 70, 14
		tick, gone                       = 100 * time.Millisecond, 2500 * time.Millisecond
		mayMiss                          = 2
	)
	type out struct {
		steps       []int // the steps of the tasks that it still holds
		ready, ends time.Duration
	}
	r := rand.New(rand.NewPCG(1, 1))
	w := Wave{MaxAway: 230, Remaining: instances, Within: 24 * time.Second, Each: 2 * time.Second}
	holds := make([][]int, instances)
	for step := range steps {
		for range tasks/2 + 1 { // the other half is on instances outside the wave
			i := r.IntN(holding)
			holds[i] = append(holds[i], step)
		}
	}
	var waiting []Candidate
	for i := range instances {
		waiting = append(waiting, Candidate{Name: fmt.Sprintf("%03d", i), Pool: "a", Runs: 1, Lasting: len(holds[i])})
	}
	var outs []*out
	var away [steps][]time.Duration // when the missing tasks are back
	for ; w.Remaining > 0 && w.Elapsed < time.Minute; w.Elapsed += tick {
		for _, x := range Next(w, waiting, nil).Take {
			i, _ := strconv.Atoi(x.Name)
			outs = append(outs, &out{steps: holds[i], ready: w.Elapsed + emptyTime})
			waiting = slices.DeleteFunc(waiting, func(o Candidate) bool { return o.Name == x.Name })
		}
		for step := range away {
			away[step] = slices.DeleteFunc(away[step], func(back time.Duration) bool { return back <= w.Elapsed })
		}
		down := 0
		w.OutLasting = 0
		outs = slices.DeleteFunc(outs, func(o *out) bool {
			o.steps = slices.DeleteFunc(slices.Clone(o.steps), func(step int) bool {
				if len(away[step]) >= mayMiss {
					return false
				}
				away[step] = append(away[step], w.Elapsed+gone)
				return true
			})
			if len(o.steps) > 0 {
				w.OutLasting++
			}
			if o.ends > 0 && w.Elapsed < o.ends {
				down++
			}
			return o.ends > 0 && w.Elapsed >= o.ends
		})
		for _, o := range outs {
			if o.ends == 0 && len(o.steps) == 0 && w.Elapsed >= o.ready && down < w.MaxAway {
				o.ends = w.Elapsed + w.Each
				down++
			}
		}
		w.Out = len(outs)
		w.Remaining = len(outs) + len(waiting)
	}
	t.Logf("took %v", w.Elapsed)
	quicktest.Assert(t, w.Elapsed <= w.Within*8/10, quicktest.IsTrue, quicktest.Commentf("took %v", w.Elapsed))
}
