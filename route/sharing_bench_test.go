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

// Parameters of the benchmark, which runs real Gates in virtual time. It has the size of the Muscat deployment: one service
// with 10 targets of 8 slots in four data centres with two entries each. Each request arrives at a random entry.
const (
	simCentres  = 4
	simEntries  = 8
	simRunners  = 10
	simSlots    = 8
	simRequests = 60_000
	simService  = 20 * time.Millisecond
	simHop      = time.Millisecond     // round trip of a relay within a data centre
	simCrossHop = 2 * time.Millisecond // round trip of a relay to another data centre
	simDeadline = 2 * time.Second
	simHint     = 5 * time.Millisecond
	// How an entry weighs the spare slots that data centres report; see package serve.
	simSpareTime  = 10 * time.Millisecond
	simUsualSpare = 2.0
	simLeastSpare = 0.5
	simRelaySpare = 2.0
)

// simEvent is a function that is called at a virtual time; events of equal time run in the order of their sequence.
type simEvent struct {
	at       time.Duration
	do       func()
	sequence int
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim is one simulation run with its gates, the requests on each target and the measured figures.
type sim struct {
	now      time.Duration
	events   simQueue
	sequence int
	random   *rand.Rand
	gates    []*Gate
	waiting  []*simWaiter
	busy     map[string]int
	peak     int
	waits    []time.Duration
	refused  int
	pushback int
	hops     int
	// full is the time until which an entry assumes that a data centre has no free slot, by entry and data centre.
	full map[[2]int]time.Duration
	// targetsPushBack makes targets refuse requests beyond their slots, for strategies whose gates don't see all requests of
	// a target.
	targetsPushBack bool
	// spares are the latest spare slots that data centres reported, by entry and data centre.
	spares map[[2]int]simSpare
}

// simSpare is a number of free slots minus waiting requests, and the time of its report.
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
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, do, s.sequence})
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

// submit sends a request to a gate.
func (s *sim) submit(g *Gate, arrived, extra, work time.Duration) {
	w, lease, refused := g.admit(Request{Team: "t", Deadline: s.clock().Add(simDeadline)})
	switch {
	case refused != nil:
		s.refused++
	case lease != nil:
		s.run(lease, arrived, extra, work)
	default:
		s.waiting = append(s.waiting, &simWaiter{g, w, arrived, extra, work})
	}
}

// submitIfFree sends a request to a gate if the gate has a free slot, and reports whether it did.
func (s *sim) submitIfFree(g *Gate, arrived, extra, work time.Duration) bool {
	if !g.HasFreeSlot(Request{Team: "t"}) {
		return false
	}
	s.submit(g, arrived, extra, work)
	return true
}

func (s *sim) run(l *Lease, arrived, extra, work time.Duration) {
	id := l.Target.Instance
	if s.targetsPushBack && s.busy[id] >= simSlots {
		s.pushback++
		s.after(simHop, func() {
			l.Done(ResultRefused)
			s.submit(l.gate, arrived, extra, work)
			s.startGranted()
		})
		return
	}
	s.busy[id]++
	s.peak = max(s.peak, s.busy[id])
	s.waits = append(s.waits, s.now-arrived+extra)
	s.after(work, func() {
		s.busy[id]--
		l.Done(ResultOK)
		s.startGranted()
	})
}

// startGranted runs the waiting requests that were granted a slot.
func (s *sim) startGranted() {
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

// simStrategy is one way in which entries share the slots; setUp creates the gates and returns the function that routes a
// request.
type simStrategy struct {
	name  string
	setUp func(s *sim) func(entry int, work time.Duration)
}

func simStrategies() []simStrategy {
	return []simStrategy{
		{"one-queue", func(s *sim) func(int, time.Duration) {
			g := s.gate(simSlots, simTargets(-1))
			return func(_ int, work time.Duration) { s.submit(g, s.now, 0, work) }
		}},
		{"fixed-shares", func(s *sim) func(int, time.Duration) {
			var gates []*Gate
			for e := range simEntries {
				gates = append(gates, s.gate(simSlots*simCentres/simEntries, simTargets(e%simCentres)))
			}
			return func(e int, work time.Duration) { s.submit(gates[e], s.now, 0, work) }
		}},
		{"least-load-pushback", func(s *sim) func(int, time.Duration) {
			s.targetsPushBack = true
			var gates []*Gate
			for e := range simEntries {
				gates = append(gates, s.gate(simSlots, simTargets(e%simCentres)))
			}
			return func(e int, work time.Duration) { s.submit(gates[e], s.now, 0, work) }
		}},
		{"owner", func(s *sim) func(int, time.Duration) {
			gates := s.ownerGates()
			return func(e int, work time.Duration) {
				s.submit(gates[e%simCentres], s.now, s.hop(e, e%simCentres), work)
			}
		}},
		{"owner-spill", func(s *sim) func(int, time.Duration) {
			gates := s.ownerGates()
			return func(e int, work time.Duration) { s.spill(gates, e, work, 0) }
		}},
		{"owner-spill-hint", func(s *sim) func(int, time.Duration) {
			gates := s.ownerGates()
			return func(e int, work time.Duration) { s.spill(gates, e, work, simHint) }
		}},
		{"owner-spill-spares", func(s *sim) func(int, time.Duration) {
			gates := s.ownerGates()
			return func(e int, work time.Duration) { s.spillBySpares(gates, e, work) }
		}},
	}
}

func (s *sim) ownerGates() []*Gate {
	var gates []*Gate
	for c := range simCentres {
		gates = append(gates, s.gate(simSlots, simTargets(c)))
	}
	return gates
}

// hop returns the relay time between the entry and the owner of the gate in the data centre.
func (s *sim) hop(entry, centre int) time.Duration {
	switch {
	case entry%simCentres != centre:
		s.hops++
		return simCrossHop
	case entry/simCentres == 1: // the data centre's other entry is the owner
		s.hops++
		return simHop
	}
	return 0
}

// spill tries the local data centre, then a free slot in the others, and queues locally when there is none.
//
// With a hint, an entry doesn't ask a data centre that had no free slot again for that duration.
func (s *sim) spill(gates []*Gate, e int, work, hint time.Duration) {
	home := e % simCentres
	arrived, extra := s.now, s.hop(e, home)
	if s.submitIfFree(gates[home], arrived, extra, work) {
		return
	}
	first := s.random.IntN(simCentres)
	for i := range simCentres {
		to := (first + i) % simCentres
		if to == home || s.now < s.full[[2]int{e, to}] {
			continue
		}
		s.hops++
		extra += simCrossHop
		if s.submitIfFree(gates[to], arrived, extra, work) {
			return
		}
		s.full[[2]int{e, to}] = s.now + hint
	}
	s.submit(gates[home], arrived, extra, work)
}

// spillBySpares tries the local data centre, then the others by their expected spare slots, and queues in the shortest queue.
func (s *sim) spillBySpares(gates []*Gate, e int, work time.Duration) {
	home := e % simCentres
	arrived, extra := s.now, s.hop(e, home)
	if s.submitIfFree(gates[home], arrived, extra, work) {
		return
	}
	for _, to := range s.byExpectedSpare(e, home) {
		s.hops++
		extra += simCrossHop
		if s.submitIfFree(gates[to], arrived, extra, work) {
			s.countSent(gates, e, to, work)
			return
		}
		s.spares[[2]int{e, to}] = simSpare{float64(gates[to].Spare()), s.now}
	}
	to := s.shortestQueue(e, home, gates)
	if to != home {
		s.hops++
		extra += simCrossHop
		s.countSent(gates, e, to, work)
	}
	s.submit(gates[to], arrived, extra, work)
}

// countSent subtracts the request from the recorded spare slots until its response reports them again.
func (s *sim) countSent(gates []*Gate, e, to int, work time.Duration) {
	key := [2]int{e, to}
	s.spares[key] = simSpare{s.spares[key].slots - 1, s.spares[key].at}
	s.after(work, func() { s.spares[key] = simSpare{float64(gates[to].Spare()), s.now} })
}

func (s *sim) byExpectedSpare(e, home int) []int {
	expected := make(map[int]float64)
	var list []int
	for off := range simCentres {
		to := (off + e) % simCentres
		reported := s.spares[[2]int{e, to}]
		weight := math.Exp(-float64(s.now-reported.at) / float64(simSpareTime))
		expected[to] = reported.slots*weight + simUsualSpare*(1-weight)
		if to != home && expected[to] >= simLeastSpare {
			list = append(list, to)
		}
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(expected[b], expected[a]) })
	return list
}

func (s *sim) shortestQueue(e, home int, gates []*Gate) int {
	best, value := home, float64(gates[home].Spare())+simRelaySpare
	for to := range simCentres {
		reported := s.spares[[2]int{e, to}]
		if to != home && s.now-reported.at <= simSpareTime && reported.slots > value {
			best, value = to, reported.slots
		}
	}
	return best
}

// simulate runs the strategy at the load, as a fraction of the capacity, and returns the figures. A fraction skew of the
// requests arrives at the first data centre, the rest at random entries.
func simulate(strategy simStrategy, load float64, skew float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(7, 11)), busy: make(map[string]int), full: make(map[[2]int]time.Duration), spares: make(map[[2]int]simSpare)}
	route := strategy.setUp(s)
	gap := float64(simService) / (float64(simRunners*simSlots) * load)
	sent := 0
	var arrive func()
	arrive = func() {
		sent++
		entry := s.random.IntN(simEntries)
		if s.random.Float64() < skew {
			entry = simCentres * s.random.IntN(2) // callers near the first data centre
		}
		route(entry, time.Duration(s.random.ExpFloat64()*float64(simService)))
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

// BenchmarkSharing compares the strategies at four loads, with callers spread evenly and with a fifth of them at one data
// centre.
func BenchmarkSharing(b *testing.B) {
	for _, skew := range [...]float64{0, 0.2} {
		for _, load := range [...]float64{0.70, 0.85, 0.95, 1.5} {
			for _, strategy := range simStrategies() {
				b.Run(fmt.Sprintf("skew=%.1f/load=%.2f/%s", skew, load, strategy.name), func(b *testing.B) {
					for b.Loop() {
						s := simulate(strategy, load, skew)
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
