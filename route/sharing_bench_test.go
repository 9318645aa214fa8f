// SPDX-License-Identifier: MIT

package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The benchmark drives real Gates in virtual time at Muscat's size: one service with 10 runners of 8 slots in four
// data centres with two entries each. Each request enters at a random entry.
const (
	simCentres  = 4
	simEntries  = 8
	simRunners  = 10
	simSlots    = 8
	simRequests = 60_000
	simService  = 20 * time.Millisecond
	simHop      = time.Millisecond // one relay within a data centre, there and back
	simFar      = 2 * time.Millisecond
	simDeadline = 2 * time.Second
	simHint     = 5 * time.Millisecond
	// What an entry makes of the free slots that data centres tell; see package serve.
	simSpareTime  = 10 * time.Millisecond
	simUsualSpare = 2.0
	simLeastSpare = 0.5
	simRelaySpare = 2.0
)

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
	n  int
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].n, q[j].n)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim is one run: gates, what runs on each target, and the figures.
type sim struct {
	now      time.Duration
	events   simQueue
	n        int
	random   *rand.Rand
	gates    []*Gate
	waiting  []*simWaiter
	busy     map[string]int
	peak     int
	waits    []time.Duration
	refused  int
	pushback int
	hops     int
	// full is until when an entry takes a data centre for full.
	full map[[2]int]time.Duration
	// pushes says that the targets refuse above their slots, because no gate knows all that they run.
	pushes bool
	// spares are what data centres told entries of their free slots.
	spares map[[2]int]simSpare
}

// simSpare is a number of free slots less waiting requests, and when it was told.
type simSpare struct {
	slots float64
	at    time.Duration
}

type simWaiter struct {
	gate    *Gate
	w       *waiter
	arrived time.Duration
	extra   time.Duration
	work    time.Duration
}

func (s *sim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, simEvent{s.now + d, do, s.n})
}

func (s *sim) gate(slots int, targets []Target) *Gate {
	g := &Gate{Clock: s.clock}
	g.Set(Limits{Slots: slots, Queue: 256}, targets)
	s.gates = append(s.gates, g)
	return g
}

func simTargets(centre int) []Target {
	var ts []Target
	for i := range simRunners {
		if centre < 0 || i%simCentres == centre {
			ts = append(ts, Target{Instance: fmt.Sprint("r", i)})
		}
	}
	return ts
}

// offer brings a request to a gate.
func (s *sim) offer(g *Gate, arrived, extra, work time.Duration) {
	w, lease, refused := g.enter(Request{Team: "t", Deadline: s.clock().Add(simDeadline)})
	switch {
	case refused != nil:
		s.refused++
	case lease != nil:
		s.run(lease, arrived, extra, work)
	default:
		s.waiting = append(s.waiting, &simWaiter{g, w, arrived, extra, work})
	}
}

// offerNow brings a request to a gate only if a slot is free there.
func (s *sim) offerNow(g *Gate, arrived, extra, work time.Duration) bool {
	if !g.HasFreeSlot(Request{Team: "t"}) {
		return false
	}
	s.offer(g, arrived, extra, work)
	return true
}

func (s *sim) run(l *Lease, arrived, extra, work time.Duration) {
	id := l.Target.Instance
	if s.pushes && s.busy[id] >= simSlots {
		s.pushback++
		s.after(simHop, func() {
			l.Done(ResultRefused)
			s.offer(l.gate, arrived, extra, work)
			s.granted()
		})
		return
	}
	s.busy[id]++
	s.peak = max(s.peak, s.busy[id])
	s.waits = append(s.waits, s.now-arrived+extra)
	s.after(work, func() {
		s.busy[id]--
		l.Done(ResultOK)
		s.granted()
	})
}

// granted starts the waiting requests that were given a slot.
func (s *sim) granted() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *simWaiter) bool {
		select {
		case l := <-w.w.granted:
			s.run(l, w.arrived, w.extra, w.work)
			return true
		case <-w.w.refused:
			s.refused++
			return true
		default:
			return false
		}
	})
}

// simWay is one way for entries to share the slots; it sets up the gates and returns how a request is brought to them.
type simWay struct {
	name string
	set  func(s *sim) func(entry int, work time.Duration)
}

func simWays() []simWay {
	return []simWay{
		{"one-queue", func(s *sim) func(int, time.Duration) {
			g := s.gate(simSlots, simTargets(-1))
			return func(_ int, work time.Duration) { s.offer(g, s.now, 0, work) }
		}},
		{"fixed-shares", func(s *sim) func(int, time.Duration) {
			var gates []*Gate
			for e := range simEntries {
				gates = append(gates, s.gate(simSlots*simCentres/simEntries, simTargets(e%simCentres)))
			}
			return func(e int, work time.Duration) { s.offer(gates[e], s.now, 0, work) }
		}},
		{"least-load-pushback", func(s *sim) func(int, time.Duration) {
			s.pushes = true
			var gates []*Gate
			for e := range simEntries {
				gates = append(gates, s.gate(simSlots, simTargets(e%simCentres)))
			}
			return func(e int, work time.Duration) { s.offer(gates[e], s.now, 0, work) }
		}},
		{"owner", func(s *sim) func(int, time.Duration) {
			gates := s.owners()
			return func(e int, work time.Duration) {
				s.offer(gates[e%simCentres], s.now, s.hop(e, e%simCentres), work)
			}
		}},
		{"owner-spill", func(s *sim) func(int, time.Duration) {
			gates := s.owners()
			return func(e int, work time.Duration) { s.spill(gates, e, work, 0) }
		}},
		{"owner-spill-hint", func(s *sim) func(int, time.Duration) {
			gates := s.owners()
			return func(e int, work time.Duration) { s.spill(gates, e, work, simHint) }
		}},
		{"owner-spill-spares", func(s *sim) func(int, time.Duration) {
			gates := s.owners()
			return func(e int, work time.Duration) { s.spillBySpares(gates, e, work) }
		}},
	}
}

func (s *sim) owners() []*Gate {
	var gates []*Gate
	for c := range simCentres {
		gates = append(gates, s.gate(simSlots, simTargets(c)))
	}
	return gates
}

// hop is the time that a request from the entry needs to the owner in the data centre.
func (s *sim) hop(entry, centre int) time.Duration {
	switch {
	case entry%simCentres != centre:
		s.hops++
		return simFar
	case entry/simCentres == 1: // the other entry of the data centre is the owner
		s.hops++
		return simHop
	}
	return 0
}

// spill tries the own data centre, then a free slot in the others, and waits at home when there is none.
//
// With a hint, a data centre that had no free slot is not asked again by the same entry for a while.
func (s *sim) spill(gates []*Gate, e int, work, hint time.Duration) {
	home := e % simCentres
	arrived, extra := s.now, s.hop(e, home)
	if s.offerNow(gates[home], arrived, extra, work) {
		return
	}
	first := s.random.IntN(simCentres)
	for i := range simCentres {
		to := (first + i) % simCentres
		if to == home || s.now < s.full[[2]int{e, to}] {
			continue
		}
		s.hops++
		extra += simFar
		if s.offerNow(gates[to], arrived, extra, work) {
			return
		}
		s.full[[2]int{e, to}] = s.now + hint
	}
	s.offer(gates[home], arrived, extra, work)
}

// spillBySpares tries the own data centre, then the others by what is to be expected there, and waits in the shortest queue.
func (s *sim) spillBySpares(gates []*Gate, e int, work time.Duration) {
	home := e % simCentres
	arrived, extra := s.now, s.hop(e, home)
	if s.offerNow(gates[home], arrived, extra, work) {
		return
	}
	for _, to := range s.byExpectation(e, home) {
		s.hops++
		extra += simFar
		if s.offerNow(gates[to], arrived, extra, work) {
			s.sent(gates, e, to, work)
			return
		}
		s.spares[[2]int{e, to}] = simSpare{float64(gates[to].Spare()), s.now}
	}
	to := s.shortest(e, home, gates)
	if to != home {
		s.hops++
		extra += simFar
		s.sent(gates, e, to, work)
	}
	s.offer(gates[to], arrived, extra, work)
}

// sent counts the request where it went, until its answer tells anew.
func (s *sim) sent(gates []*Gate, e, to int, work time.Duration) {
	key := [2]int{e, to}
	s.spares[key] = simSpare{s.spares[key].slots - 1, s.spares[key].at}
	s.after(work, func() { s.spares[key] = simSpare{float64(gates[to].Spare()), s.now} })
}

func (s *sim) byExpectation(e, home int) []int {
	expected := make(map[int]float64)
	var list []int
	for off := range simCentres {
		to := (off + e) % simCentres
		told := s.spares[[2]int{e, to}]
		worth := math.Exp(-float64(s.now-told.at) / float64(simSpareTime))
		expected[to] = told.slots*worth + simUsualSpare*(1-worth)
		if to != home && expected[to] >= simLeastSpare {
			list = append(list, to)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	return list
}

func (s *sim) shortest(e, home int, gates []*Gate) int {
	best, value := home, float64(gates[home].Spare())+simRelaySpare
	for to := range simCentres {
		told := s.spares[[2]int{e, to}]
		if to != home && s.now-told.at <= simSpareTime && told.slots > value {
			best, value = to, told.slots
		}
	}
	return best
}

// simulate sends the requests at the load and returns the figures.
func simulate(way simWay, load float64, skew float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(7, 11)), busy: make(map[string]int), full: make(map[[2]int]time.Duration), spares: make(map[[2]int]simSpare)}
	bring := way.set(s)
	gap := float64(simService) / (float64(simRunners*simSlots) * load)
	sent := 0
	var arrive func()
	arrive = func() {
		sent++
		entry := s.random.IntN(simEntries)
		if s.random.Float64() < skew {
			entry = simCentres * s.random.IntN(2) // callers near the first data centre
		}
		bring(entry, time.Duration(s.random.ExpFloat64()*float64(simService)))
		if sent < simRequests {
			s.after(time.Duration(s.random.ExpFloat64()*gap), arrive)
		}
	}
	s.after(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.waits)
	return s
}

// BenchmarkSharing compares the ways at three loads, with callers spread evenly and with a fifth of them at one data centre.
func BenchmarkSharing(b *testing.B) {
	for _, skew := range [...]float64{0, 0.2} {
		for _, load := range [...]float64{0.70, 0.85, 0.95, 1.5} {
			for _, way := range simWays() {
				b.Run(fmt.Sprintf("skew=%.1f/load=%.2f/%s", skew, load, way.name), func(b *testing.B) {
					for b.Loop() {
						s := simulate(way, load, skew)
						n := float64(len(s.waits))
						b.ReportMetric(float64(s.waits[len(s.waits)/2])/1e6, "p50-ms")
						b.ReportMetric(float64(s.waits[len(s.waits)*99/100])/1e6, "p99-ms")
						b.ReportMetric(100*float64(s.refused)/simRequests, "refused-%")
						b.ReportMetric(100*float64(s.pushback)/n, "pushback-%")
						b.ReportMetric(float64(s.hops)/n, "hops/req")
						b.ReportMetric(float64(s.peak), "peak-slots")
					}
				})
			}
		}
	}
}
