// SPDX-License-Identifier: MIT

package upkeep

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Pool is what is known of a pool's size.
type Pool struct {
	Name string
	// Headroom pools are off; what nobody wants belongs there.
	Headroom bool
	// Want is how many instances its tasks need now, Keep how many it is not to fall under.
	Want, Keep float64
	// Idle is how many it has needed over a longer time: what it has beyond that is parked. Soon is how many it will want
	// before long.
	Idle, Soon float64
	// Lacks are, by label, how many instances with that label its tasks wait for, under AnyLabel how many of any.
	Lacks map[string]int
	// Have counts those that serve it or are on their way to it.
	Have int
}

// Instance is one that can move.
type Instance struct {
	Name, Pool string
	Labels     []string
	// Runs counts its runs, Lasting those that last: they hold it where it is.
	Runs, Lasting int
	// Fixed says that it is on its way somewhere, or down.
	Fixed bool
}

// Move takes an instance to another pool.
type Move struct{ Instance, From, To string }

// Moves returns the moves that bring the pools nearest to what they want: first into pools that lack instances, from
// the headroom and from pools with more than they keep; then what is left over into the headroom.
func Moves(pools []Pool, instances []Instance) []Move {
	m := mover{pools: make(map[string]*Pool, len(pools))}
	for i := range pools {
		p := pools[i]
		p.Lacks = maps.Clone(p.Lacks)
		m.pools[p.Name] = &p
		m.names = append(m.names, p.Name)
		if p.Headroom && m.headroom == "" {
			m.headroom = p.Name
		}
	}
	slices.Sort(m.names)
	m.free = m.candidates(instances)
	for p := m.neediest(); p != nil; p = m.neediest() {
		if !m.supply(p) {
			break
		}
	}
	for _, n := range m.names {
		for m.supplyLacking(m.pools[n]) {
		}
	}
	m.prepare()
	m.park()
	return m.moves
}

type mover struct {
	pools    map[string]*Pool
	names    []string
	headroom string
	free     []Instance
	moves    []Move
}

// candidates returns the instances that may move, those first that cost least to take.
func (m *mover) candidates(all []Instance) []Instance {
	type candidate struct {
		cost int
		x    *Instance
	}
	var priced []candidate
	for i := range all {
		x := &all[i]
		p := m.pools[x.Pool]
		switch {
		case p == nil || x.Fixed || x.Lasting > 0:
		case p.Headroom:
			priced = append(priced, candidate{-1, x})
		default:
			priced = append(priced, candidate{x.Runs, x})
		}
	}
	slices.SortFunc(priced, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.x.Name, b.x.Name))
	})
	free := make([]Instance, len(priced))
	for i, c := range priced {
		free[i] = *c.x
	}
	return free
}

// neediest returns the pool that lacks the largest part of what it wants, or nil when none lacks any.
func (m *mover) neediest() *Pool {
	var worst *Pool
	var part float64
	for _, n := range m.names {
		p := m.pools[n]
		if p.Headroom || float64(p.Have) >= math.Ceil(p.Want) {
			continue
		}
		if lack := (p.Want - float64(p.Have)) / p.Want; worst == nil || lack > part {
			worst, part = p, lack
		}
	}
	return worst
}

// supply moves the cheapest instance to the pool, of a kind that it lacks if there is one; it says whether there was any.
func (m *mover) supply(to *Pool) bool {
	if m.supplyLacking(to) {
		return true
	}
	i := slices.IndexFunc(m.free, func(x Instance) bool { return m.spare(x, to) })
	if i < 0 {
		return false
	}
	m.move(i, to)
	return true
}

// supplyLacking moves an instance of a kind that the pool lacks; it says whether there was one.
func (m *mover) supplyLacking(to *Pool) bool {
	if len(to.Lacks) == 0 {
		return false
	}
	i := slices.IndexFunc(m.free, func(x Instance) bool { return m.spare(x, to) && lacking(to, x) })
	if i < 0 {
		return false
	}
	m.move(i, to)
	return true
}

// spare says whether an instance can go to a pool: it is off, or its own pool has more than it keeps.
func (m *mover) spare(x Instance, to *Pool) bool {
	from := m.pools[x.Pool]
	return from != to && (from.Headroom || spares(from))
}

// lacking says whether the pool lacks instances of this kind.
func lacking(to *Pool, x Instance) bool {
	return to.Lacks[AnyLabel] > 0 || slices.ContainsFunc(x.Labels, func(l string) bool { return to.Lacks[l] > 0 })
}

// AnyLabel stands for instances with whatever label in Pool.Lacks.
const AnyLabel = ""

// spares says whether a pool has an instance more than it keeps.
func spares(p *Pool) bool { return float64(p.Have-1) >= math.Ceil(p.Keep) }

// idles says whether a pool has had an instance more than it needed for long, and will have.
func idles(p *Pool) bool { return float64(p.Have-1) >= math.Ceil(max(p.Keep, p.Idle, p.Soon)) }

// prepare moves idle instances to the pools that will want them soon.
func (m *mover) prepare() {
	for _, n := range m.names {
		for p := m.pools[n]; float64(p.Have) < math.Ceil(p.Soon); {
			i := slices.IndexFunc(m.free, func(x Instance) bool {
				from := m.pools[x.Pool]
				return x.Runs == 0 && from != p && (from.Headroom || (spares(from) && float64(from.Have-1) >= from.Soon))
			})
			if i < 0 {
				return
			}
			m.move(i, p)
		}
	}
}

func (m *mover) move(i int, to *Pool) {
	x := m.free[i]
	m.moves = append(m.moves, Move{Instance: x.Name, From: x.Pool, To: to.Name})
	m.pools[x.Pool].Have--
	to.Have++
	if len(to.Lacks) > 0 {
		to.Lacks[AnyLabel]--
		for _, l := range x.Labels {
			to.Lacks[l]--
		}
	}
	m.free = slices.Delete(m.free, i, i+1)
}

// park moves idle instances that no pool keeps into the headroom.
func (m *mover) park() {
	if m.headroom == "" {
		return
	}
	for i := 0; i < len(m.free); {
		from := m.pools[m.free[i].Pool]
		if from.Headroom || m.free[i].Runs > 0 || !idles(from) {
			i++
			continue
		}
		m.move(i, m.pools[m.headroom])
	}
}

// Surplus returns how many instances each pool could spare: what it has beyond its wants, and of a headroom what the
// other pools do not lack.
func Surplus(pools []Pool) map[string]int {
	surplus := make(map[string]int, len(pools))
	lack := 0
	for i := range pools {
		if p := &pools[i]; !p.Headroom {
			over := p.Have - int(math.Ceil(p.Want))
			surplus[p.Name] = max(over, 0)
			lack += max(-over, 0)
		}
	}
	for i := range pools {
		if p := &pools[i]; p.Headroom {
			surplus[p.Name] = max(p.Have-lack, 0)
		}
	}
	return surplus
}
