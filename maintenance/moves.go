// SPDX-License-Identifier: MIT

package maintenance

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Pool describes the size of a pool and its demand, in instances.
type Pool struct {
	Name string
	// Headroom pools hold instances that are switched off. Instances that no other pool needs belong there.
	Headroom bool
	// Want is the number of instances that its tasks need now. Min is the number that it must not fall below.
	Want, Min float64
	// LongTermNeed is the number that it needed over a longer time; instances beyond it are moved to the headroom.
	// SoonNeed is the number that it is expected to need soon.
	LongTermNeed, SoonNeed float64
	// Missing is, by label, the number of instances with that label that its tasks wait for. The key AnyLabel
	// stands for instances with any labels.
	Missing map[string]int
	// Have is the number of instances that serve the pool or are moving to it.
	Have int
}

// Instance is an instance that may be moved.
type Instance struct {
	Name, Pool string
	Labels     []string
	// Runs is the number of its runs. Lasting is the number of those that belong to lasting tasks, which keep the
	// instance in its pool.
	Runs, Lasting int
	// Fixed reports that the instance is already moving, or down, or is to stay for tasks that are about to start there.
	Fixed bool
	// Drained reports that its data centre is drained, so that it serves no pool and is not counted in Pool.Have.
	Drained bool
}

// Move moves an instance to another pool.
type Move struct{ Instance, From, To string }

// Moves returns the moves that bring the pools closest to their needs. First it supplies pools that lack instances,
// from the headroom and from pools that have more than their minimum; then it moves surplus instances to the
// headroom. Among equally suitable instances it takes the first one. Its run time is linear in the number of
// instances.
func Moves(pools []Pool, instances []Instance) []Move {
	m := planner{pools: make(map[string]*Pool, len(pools)), sources: make(map[string]*queue, len(pools)), all: instances}
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
	m.buildQueues()
	for p := m.neediest(); p != nil; p = m.neediest() {
		if !m.supply(p) {
			break
		}
	}
	for _, n := range m.names {
		for m.supplyMissing(m.pools[n]) {
		}
	}
	m.supplySoon()
	m.parkIdle()
	return m.moves
}

type planner struct {
	pools    map[string]*Pool
	names    []string
	headroom string
	all      []Instance
	// sources holds the instances of each pool that may move, drained the idle ones in drained data centres, which
	// may only move to the headroom.
	sources map[string]*queue
	drained []*row
	moves   []Move
}

// queue holds the instances of a pool that may move, cheapest first.
type queue struct {
	rows []*row
	// labels holds the same instances by label. It is built on first use.
	labels map[string][]*row
}

// row is an instance that may move. It is marked as taken once it is moved.
type row struct {
	*Instance
	taken bool
}

// first returns the first row that is not taken, or nil, and the remaining rows starting with it.
func first(rows []*row) (*row, []*row) {
	for len(rows) > 0 && rows[0].taken {
		rows = rows[1:]
	}
	if len(rows) == 0 {
		return nil, nil
	}
	return rows[0], rows
}

// next returns the cheapest remaining instance, or nil.
func (q *queue) next() *row {
	x, rest := first(q.rows)
	q.rows = rest
	return x
}

// nextWith returns the cheapest remaining instance that has the label, or nil.
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

// buildQueues sorts the instances that may move into the queues of their pools.
func (m *planner) buildQueues() {
	for n := range m.pools {
		m.sources[n] = new(queue)
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
				m.drained = append(m.drained, x)
			}
		case p.Headroom || x.Runs == 0:
			m.sources[x.Pool].rows = append(m.sources[x.Pool].rows, x)
		default:
			busy[x.Pool] = append(busy[x.Pool], x)
		}
	}
	for n, rows := range busy {
		slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(a.Runs, b.Runs) })
		m.sources[n].rows = append(m.sources[n].rows, rows...)
	}
}

// cost returns the cost of moving an instance: its number of runs, or less than that of any running instance if it
// is switched off.
func (m *planner) cost(x *row) int {
	if m.pools[x.Pool].Headroom {
		return -1
	}
	return x.Runs
}

// cheaper returns the instance with the lower cost, or the one with the smaller name if the costs are equal. Either
// may be nil.
func (m *planner) cheaper(a, b *row) *row {
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

// cheapest returns the cheapest instance that the headroom and other pools that satisfy gives offer to the pool, or
// nil.
func (m *planner) cheapest(to *Pool, gives func(from *Pool) bool, offer func(q *queue) *row) *row {
	var best *row
	for _, n := range m.names {
		if from := m.pools[n]; from != to && (from.Headroom || gives(from)) {
			best = m.cheaper(best, offer(m.sources[n]))
		}
	}
	return best
}

// neediest returns the pool that lacks the largest fraction of the instances that it wants, or nil if none lacks
// any.
func (m *planner) neediest() *Pool {
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

// supply moves the cheapest instance to the pool, preferring one with a missing label. It reports whether there was
// one.
func (m *planner) supply(to *Pool) bool {
	if m.supplyMissing(to) {
		return true
	}
	x := m.cheapest(to, hasSpare, (*queue).next)
	if x != nil {
		m.move(x, to)
	}
	return x != nil
}

// supplyMissing moves an instance with a missing label to the pool. It reports whether there was one.
func (m *planner) supplyMissing(to *Pool) bool {
	var best *row
	for label, n := range to.Missing {
		if n <= 0 {
			continue
		}
		best = m.cheaper(best, m.cheapest(to, hasSpare, func(q *queue) *row {
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

// AnyLabel is the key in Pool.Missing for instances with any labels.
const AnyLabel = ""

// hasSpare reports whether a pool can give up an instance without falling below its minimum.
func hasSpare(p *Pool) bool { return float64(p.Have-1) >= math.Ceil(p.Min) }

// hasIdle reports whether a pool has had an instance more than it needed for a longer time, and is not expected to
// need it soon.
func hasIdle(p *Pool) bool {
	return float64(p.Have-1) >= math.Ceil(max(p.Min, p.LongTermNeed, p.SoonNeed))
}

// supplySoon moves idle instances to the pools that are expected to need them soon.
func (m *planner) supplySoon() {
	gives := func(from *Pool) bool { return hasSpare(from) && float64(from.Have-1) >= from.SoonNeed }
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

func (m *planner) move(x *row, to *Pool) {
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

// parkIdle moves idle surplus instances to the headroom, and those of drained data centres.
func (m *planner) parkIdle() {
	if m.headroom == "" {
		return
	}
	for _, n := range m.names {
		from := m.pools[n]
		for x := m.sources[n].next(); x != nil && !from.Headroom && x.Runs == 0 && hasIdle(from); x = m.sources[n].next() {
			m.move(x, m.pools[m.headroom])
		}
	}
	for _, x := range m.drained {
		m.moves = append(m.moves, Move{Instance: x.Name, From: x.Pool, To: m.headroom})
	}
}
