// SPDX-License-Identifier: MIT

package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Parameters of the simulated wave: half of 349 instances in four pools and a headroom.
const (
	playTick     = 100 * time.Millisecond
	playWithin   = 24 * time.Second
	playEach     = 2 * time.Second
	playEmpty    = 2 * time.Second
	playOverhead = 300 * time.Millisecond // until an instance that is back is listed
	playBurst    = 4500 * time.Millisecond
	playMaxAway  = 70
	playRetry    = 500 * time.Millisecond
)

var playSizes = map[string]int{"a": 65, "b": 65, "c": 65, "d": 65, "h": 89}

// playedInstance is an instance of the simulated fleet.
type playedInstance struct {
	name, pool string
	inWave     bool
	out, done  bool
	// empty is when it is empty, away reports that its maintenance has begun, and back is when it is in service again.
	empty, back time.Duration
	away        bool
}

// wavePlay simulates a wave over the bursts of a fleet.
type wavePlay struct {
	// burst returns the pools that have a burst, and needed the number of instances that each of them needs.
	burst  func(at time.Duration) []string
	needed float64
	// refused is the fraction of calls that are refused or not answered. Between failsFrom and failsUntil the store
	// fails, so that nothing is taken out. Drained is a pool whose data centre is drained.
	refused               float64
	failsFrom, failsUntil time.Duration
	drained               string

	instances []*playedInstance
	bursts    Bursts
	r         *rand.Rand
	// took is when the wave was done. Lost is, in instance-seconds, what pools lacked in their bursts because of the
	// wave. Early is the largest number of instances that were out of pools in a burst while the wave had time to wait.
	took  time.Duration
	lost  float64
	early int
}

// run simulates a minute of load and then the wave.
func (p *wavePlay) run() {
	p.r = rand.New(rand.NewPCG(1, 2))
	for _, pool := range []string{"a", "b", "c", "d", "h"} {
		for i := range playSizes[pool] {
			p.instances = append(p.instances, &playedInstance{name: fmt.Sprintf("%s%02d", pool, i), pool: pool, inWave: len(p.instances)%2 == 0})
		}
	}
	for at := -time.Minute; at < 0; at += playTick {
		p.observe(at)
	}
	for at := time.Duration(0); at < time.Minute; at += playTick {
		p.took = at
		loads := p.observe(at)
		if p.tick(at, loads) {
			return
		}
	}
}

// observe updates the bursts and returns the loads of the pools.
func (p *wavePlay) observe(at time.Duration) map[string]PoolLoad {
	have := make(map[string]int)
	for _, x := range p.instances {
		if !x.out && x.pool != p.drained {
			have[x.pool]++
		}
	}
	var pools []Pool
	now := start.Add(at)
	for name := range playSizes {
		row := Pool{Name: name, Headroom: name == "h", Have: have[name]}
		if !row.Headroom {
			row.Want = 4
			if p.inBurst(name, at) {
				row.Want = p.needed
			}
			p.bursts.Observe(name, Load{Need: row.Want, Used: row.Want, Have: row.Have}, now)
		}
		pools = append(pools, row)
	}
	return PoolLoads(pools, &p.bursts, nil, playEach+playEmpty, now)
}

func (p *wavePlay) inBurst(pool string, at time.Duration) bool {
	for _, b := range p.burst(at) {
		if b == pool {
			return true
		}
	}
	return false
}

// tick advances the wave, and reports whether it is done.
func (p *wavePlay) tick(at time.Duration, loads map[string]PoolLoad) bool {
	w := Wave{MaxAway: playMaxAway, Within: playWithin, Elapsed: at, Each: playEach}
	var waiting []Candidate
	away := 0
	for _, x := range p.instances {
		if x.away && at >= x.back {
			x.out, x.away, x.done = false, false, true
		}
		switch {
		case !x.inWave || x.done:
			continue
		case x.out:
			w.Out++
		default:
			waiting = append(waiting, p.candidate(x, at))
		}
		if x.away {
			away++
		}
		w.Remaining++
	}
	if w.Remaining == 0 {
		return true
	}
	if at < p.failsFrom || at >= p.failsUntil {
		for _, c := range Next(w, waiting, loads).Take {
			p.take(c, at)
		}
		p.request(away, at)
	}
	p.count(w, at)
	return false
}

// candidate returns the instance as the wave sees it: in a burst each one has runs, otherwise one in sixteen.
func (p *wavePlay) candidate(x *playedInstance, at time.Duration) Candidate {
	c := Candidate{Name: x.name, Pool: x.pool, Drained: x.pool == p.drained}
	if x.pool != "h" && (p.inBurst(x.pool, at) || x.name[1:] < "04") {
		c.Runs = 4
	}
	return c
}

func (p *wavePlay) take(c Candidate, at time.Duration) {
	for _, x := range p.instances {
		if x.name != c.Name {
			continue
		}
		x.out, x.empty = true, at
		if c.Runs > 0 {
			x.empty += playEmpty
		}
	}
}

// request begins the maintenance of instances that are empty, of no more than may be away. Some calls fail.
func (p *wavePlay) request(away int, at time.Duration) {
	for _, x := range p.instances {
		if !x.out || x.away || at < x.empty || away >= playMaxAway {
			continue
		}
		if p.r.Float64() < p.refused {
			x.empty = at + playRetry
			continue
		}
		x.away, x.back = true, at+playEach+playOverhead
		away++
	}
}

// count adds what the pools in a burst lack because of the wave. The headroom serves them too.
func (p *wavePlay) count(w Wave, at time.Duration) {
	out, have := 0, 0
	for _, x := range p.instances {
		serves := p.inBurst(x.pool, at) || x.pool == "h" && len(p.burst(at)) > 0
		switch {
		case serves && x.out:
			out++
		case serves:
			have++
		}
	}
	lack := min(out, max(int(p.needed)*len(p.burst(at))-have, 0))
	p.lost += float64(lack) * playTick.Seconds()
	// The wave has time to wait while all that remains can be done in the planned time by MaxAway instances at a time.
	rounds := float64(w.Remaining) / playMaxAway
	planned := playWithin * 3 / 4
	if at < planned-time.Duration(max(rounds, 2)*float64(playEach+playEmpty)) {
		p.early = max(p.early, lack)
	}
}

// passing returns bursts that pass from pool to pool.
func passing(at time.Duration) []string {
	return []string{string("abcd"[int((at+2*time.Minute)/playBurst)%4])}
}

// TestAWaveWaitsForBurstsToEnd guards against a wave that takes instances from a pool in its burst while it has time, and
// against one that is late because it waited: for bursts that never end, after failed calls or while the store fails.
func TestAWaveWaitsForBurstsToEnd(t *testing.T) {
	never := func(at time.Duration) []string {
		if at < -time.Second {
			return passing(at)
		}
		return []string{"a", "b", "c", "d"}
	}
	soonOver := func(at time.Duration) []string {
		if at < playBurst {
			return passing(at)
		}
		return nil
	}
	apart := func(at time.Duration) []string { // pauses as long as the bursts
		if int((at+2*time.Minute)/playBurst)%2 == 0 {
			return nil
		}
		return []string{string("abcd"[int((at+2*time.Minute)/playBurst)/2%4])}
	}
	steady := func(time.Duration) []string { return []string{"a", "b"} }
	for _, test := range [...]struct {
		name string
		play wavePlay
		// ends is when the wave must be done, lost how many instance-seconds the bursts may lose: each of the 45
		// instances of the headroom is out for 2.3 s, and each of the others for up to 4.3 s.
		ends time.Duration
		lost float64
	}{
		{"bursts that fit into the headroom", wavePlay{burst: passing, needed: 120}, playWithin * 3 / 4, 0},
		{"bursts that need all of the headroom", wavePlay{burst: passing, needed: 150}, playWithin * 3 / 4, 50},
		{"bursts that need more than there is", wavePlay{burst: passing, needed: 900}, playWithin, 110},
		{"bursts with pauses", wavePlay{burst: apart, needed: 900}, playWithin, 15},
		{"a burst that is over soon", wavePlay{burst: soonOver, needed: 900}, playWithin * 3 / 4, 0},
		{"bursts that never end", wavePlay{burst: never, needed: 900}, playWithin, 800},
		{"a load that is no burst", wavePlay{burst: steady, needed: 60}, playWithin, 0},
		{"calls that fail", wavePlay{burst: never, needed: 900, refused: 0.3}, playWithin, 900},
		{"a store that fails while the wave waits", wavePlay{burst: never, needed: 900, failsFrom: 4 * time.Second, failsUntil: 12 * time.Second}, playWithin, 800},
		{"a store that fails for most of the time", wavePlay{burst: never, needed: 900, failsUntil: 14400 * time.Millisecond}, playWithin + playEach + playOverhead, 900},
		{"a drained data centre", wavePlay{burst: passing, needed: 120, drained: "a"}, playWithin * 3 / 4, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &test.play
			p.run()
			t.Logf("took %v, lost %.1f instance-seconds, early %d", p.took, p.lost, p.early)
			quicktest.Check(t, p.took <= test.ends, quicktest.IsTrue, quicktest.Commentf("took %v", p.took))
			quicktest.Check(t, p.early, quicktest.Equals, 0)
			quicktest.Check(t, p.lost <= test.lost, quicktest.IsTrue, quicktest.Commentf("lost %.1f", p.lost))
		})
	}
}
