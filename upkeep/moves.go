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
	Want, Min float64
	// LongTermNeed is how many it has needed over a longer time: what it has beyond that is parked. Soon is how many it will want
	// before long.
	LongTermNeed, SoonNeed float64
	// Missing are, by label, how many instances with that label its tasks wait for, under AnyLabel how many of any.
	Missing map[string]int
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
	// Drained says that its data centre is drained: it serves no pool, and counts in none.
	Drained bool
}

// Move takes an instance to another pool.
type Move struct{ Instance, From, To string }

// Moves returns the moves that bring the pools nearest to what they want: first into pools that lack instances, from
// the headroom and from pools with more than they keep; then what is left over into the headroom. Of instances that are
// equally good it takes the first one given. Its time goes with the number of instances, not with its square.
func Moves(pools []Pool, instances []Instance) []Move {
	m := mover{pools: make(map[string]*Pool, len(pools)), free: make(map[string]*queue, len(pools)), all: instances}
	for i := range pools {
		p := pools[i]
		p.Missing = maps.Clone(p.Missing)
		m.pools[p.Name] = &p
		m.names = append(m.names, p.Name)
		if p.Headroom && m.headroom == "" {
			m.headroom = p.Name
		}
	}
	slices.Sort(m.names)
	m.line()
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
	all      []Instance
	// free are the instances of each pool that may move, idle the ones in drained data centres that only may rest.
	free  map[string]*queue
	idle  []*row
	moves []Move
}

// queue is a pool's instances that may move, those first that cost least to take. The places tell which of two queues' first ones costs less.
type queue struct {
	rows []*row
	// labels are the same by label, made when a label is asked for.
	labels map[string][]*row
}

// row is an instance that may move; taken says that it does.
type row struct {
	*Instance
	taken bool
}

// first returns the first row that is not taken, or nil, and the rows from there on.
func first(rows []*row) (*row, []*row) {
	for len(rows) > 0 && rows[0].taken {
		rows = rows[1:]
	}
	if len(rows) == 0 {
		return nil, nil
	}
	return rows[0], rows
}

// next returns the pool's next instance, or nil.
func (q *queue) next() *row {
	x, rest := first(q.rows)
	q.rows = rest
	return x
}

// nextWith returns the pool's next instance with a label, or nil.
func (q *queue) nextWith(label string) *row {
	if q.labels == nil {
		q.labels = make(map[string][]*row)
		for _, x := range q.rows {
			for _, l := range x.Labels {
				q.labels[l] = append(q.labels[l], x)
			}
		}
	}
	x, rest := first(q.labels[label])
	q.labels[label] = rest
	return x
}

// line puts the instances that may move into their pools' queues.
func (m *mover) line() {
	for n := range m.pools {
		m.free[n] = new(queue)
	}
	rows := make([]row, len(m.all))
	busy := make(map[string][]*row)
	for i := range rows {
		x := &rows[i]
		x.Instance = &m.all[i]
		p := m.pools[x.Pool]
		switch {
		case p == nil || x.Fixed || x.Lasting > 0:
		case x.Drained:
			if !p.Headroom && x.Runs == 0 {
				m.idle = append(m.idle, x)
			}
		case p.Headroom || x.Runs == 0:
			m.free[x.Pool].rows = append(m.free[x.Pool].rows, x)
		default:
			busy[x.Pool] = append(busy[x.Pool], x)
		}
	}
	for n, rows := range busy {
		slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(a.Runs, b.Runs) })
		m.free[n].rows = append(m.free[n].rows, rows...)
	}
}

// cost is what it costs to take an instance, by what runs there; one that is off costs nothing.
func (m *mover) cost(x *row) int {
	if m.pools[x.Pool].Headroom {
		return -1
	}
	return x.Runs
}

// cheaper returns the one that costs less, the first one of equals; either may be nil.
func (m *mover) cheaper(a, b *row) *row {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	if cmp.Or(cmp.Compare(m.cost(a), m.cost(b)), cmp.Compare(a.Name, b.Name)) <= 0 {
		return a
	}
	return b
}

// cheapest returns the cheapest instance that pools which may give one to the pool offer, or nil.
func (m *mover) cheapest(to *Pool, gives func(from *Pool) bool, offer func(q *queue) *row) *row {
	var best *row
	for _, n := range m.names {
		if from := m.pools[n]; from != to && (from.Headroom || gives(from)) {
			best = m.cheaper(best, offer(m.free[n]))
		}
	}
	return best
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
	x := m.cheapest(to, spares, (*queue).next)
	if x != nil {
		m.move(x, to)
	}
	return x != nil
}

// supplyLacking moves an instance of a kind that the pool lacks; it says whether there was one.
func (m *mover) supplyLacking(to *Pool) bool {
	var best *row
	for label, n := range to.Missing {
		if n <= 0 {
			continue
		}
		best = m.cheaper(best, m.cheapest(to, spares, func(q *queue) *row {
			if label == AnyLabel {
				return q.next()
			}
			return q.nextWith(label)
		}))
	}
	if best != nil {
		m.move(best, to)
	}
	return best != nil
}

// AnyLabel stands for instances with whatever label in Pool.Lacks.
const AnyLabel = ""

// spares says whether a pool has an instance more than it keeps.
func spares(p *Pool) bool { return float64(p.Have-1) >= math.Ceil(p.Min) }

// idles says whether a pool has had an instance more than it needed for long, and will have.
func idles(p *Pool) bool { return float64(p.Have-1) >= math.Ceil(max(p.Min, p.LongTermNeed, p.SoonNeed)) }

// prepare moves idle instances to the pools that will want them soon.
func (m *mover) prepare() {
	gives := func(from *Pool) bool { return spares(from) && float64(from.Have-1) >= from.SoonNeed }
	for _, n := range m.names {
		for p := m.pools[n]; float64(p.Have) < math.Ceil(p.SoonNeed); {
			x := m.cheapest(p, gives, (*queue).next)
			if x == nil || x.Runs > 0 {
				return
			}
			m.move(x, p)
		}
	}
}

func (m *mover) move(x *row, to *Pool) {
	m.moves = append(m.moves, Move{Instance: x.Name, From: x.Pool, To: to.Name})
	m.pools[x.Pool].Have--
	to.Have++
	if len(to.Missing) > 0 {
		to.Missing[AnyLabel]--
		for _, l := range x.Labels {
			to.Missing[l]--
		}
	}
	x.taken = true
}

// park moves idle instances that no pool keeps into the headroom, and those that may serve none.
func (m *mover) park() {
	if m.headroom == "" {
		return
	}
	for _, n := range m.names {
		from := m.pools[n]
		for x := m.free[n].next(); x != nil && !from.Headroom && x.Runs == 0 && idles(from); x = m.free[n].next() {
			m.move(x, m.pools[m.headroom])
		}
	}
	for _, x := range m.idle {
		m.moves = append(m.moves, Move{Instance: x.Name, From: x.Pool, To: m.headroom})
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
