// SPDX-License-Identifier: MIT

package org

import (
	"maps"
	"slices"

	"rackstep.dev/job"
)

// account is what one organisation has running.
type account struct {
	held job.Need
	runs int
}

// Ledger counts what organisations have running, and knows what they may have. The zero value is ready and bounds nothing; it belongs to one
// goroutine.
//
// Work without an organisation is not counted.
type Ledger struct {
	directory *Directory
	accounts  map[string]*account
	// former are the organisations that were taken away, as they last were: what was accepted of them runs on under their caps.
	former map[string]*Organisation
}

// SetDirectory puts a version in force: what runs is counted on, and a cap that was lowered stops nothing.
func (l *Ledger) SetDirectory(d *Directory) {
	if l.directory != nil {
		for name, o := range l.directory.byName {
			if d.ByName(name) != nil {
				continue
			}
			if l.former == nil {
				l.former = make(map[string]*Organisation)
			}
			l.former[name] = o
		}
	}
	l.directory = d
}

// Organisation returns the organisation as the version in force has it, or as it last was; nil for one that was never named.
func (l *Ledger) Organisation(name string) *Organisation {
	if o := l.directory.ByName(name); o != nil {
		return o
	}
	return l.former[name]
}

// Directory returns the version in force, nil before the first.
func (l *Ledger) Directory() *Directory { return l.directory }

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = new(account)
		l.accounts[name] = a
	}
	return a
}

// Acquire counts a run in. A nil Ledger counts nothing.
func (l *Ledger) Acquire(name string, n job.Need) {
	if l == nil || name == "" {
		return
	}
	a := l.account(name)
	a.held, a.runs = a.held.Plus(n), a.runs+1
}

// Release counts a run out that has surely ended, or never began.
func (l *Ledger) Release(name string, n job.Need) {
	if l == nil || name == "" {
		return
	}
	a := l.account(name)
	a.held, a.runs = a.held.Minus(n), a.runs-1
	if a.runs == 0 {
		delete(l.accounts, name)
	}
}

// Held returns what the organisation has running, and in how many runs.
func (l *Ledger) Held(name string) (job.Need, int) {
	if a := l.accounts[name]; a != nil {
		return a.held, a.runs
	}
	return job.Need{}, 0
}

// Names returns the organisations that have something running, in the order of their names.
func (l *Ledger) Names() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// OverCap says whether the organisation has more running than it may, counting the run of that need, which may be the only one: its order must
// not leave then. It happens when a cap is lowered between a decision and its order.
func (l *Ledger) OverCap(name string, n job.Need) bool {
	o := l.Organisation(name)
	if o == nil {
		return false
	}
	held, runs := l.Held(name)
	return runs > 1 && !within(held, o.Cap, n)
}

// HasCaps says whether any organisation has a cap.
func (l *Ledger) HasCaps() bool {
	for _, o := range l.former {
		if o.Cap != (job.Need{}) {
			return true
		}
	}
	return l.directory.bounded()
}

// Draft returns a copy to decide on. What an organisation may have running without its being counted, since nobody has told of it yet, is
// unknown: it counts against its cap; nothing is unknown when nil.
func (l *Ledger) Draft(unknown func(name string) job.Need) *Draft {
	if unknown == nil {
		unknown = func(string) job.Need { return job.Need{} }
	}
	return &Draft{ledger: l, unknown: unknown, taken: make(map[string]account)}
}

// within says whether a total respects a cap in all that the need asks for: what is over already in memory does not keep a task
// without memory from starting.
func within(total, limit, need job.Need) bool {
	return (limit.MilliCPU == 0 || need.MilliCPU == 0 || total.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || need.MemoryMB == 0 || total.MemoryMB <= limit.MemoryMB) &&
		(limit.GPU == 0 || need.GPU == 0 || total.GPU <= limit.GPU)
}

// Draft is a Ledger with what one decision adds to it.
type Draft struct {
	ledger  *Ledger
	unknown func(name string) job.Need
	taken   map[string]account
}

// Admits says whether the organisation may have that many more runs of the need, all of them. A nil Draft admits everything.
//
// A single run that is larger than the cap is admitted when it is alone.
func (d *Draft) Admits(name string, n job.Need, runs int) bool {
	if d == nil || name == "" || runs <= 0 {
		return true
	}
	o := d.ledger.Organisation(name)
	if o == nil || o.Cap == (job.Need{}) {
		return true
	}
	held, before := d.held(name)
	unknown := d.unknown(name)
	if before == 0 && runs == 1 && unknown == (job.Need{}) {
		return true
	}
	return within(held.Plus(unknown).Plus(n.Times(runs)), o.Cap, n)
}

// Acquire adds runs to the draft, Return takes them out again.
func (d *Draft) Acquire(name string, n job.Need) { d.change(name, n, 1) }

// Release takes out a run that Take had added.
func (d *Draft) Release(name string, n job.Need) { d.change(name, job.Need{}.Minus(n), -1) }

func (d *Draft) change(name string, n job.Need, runs int) {
	if d == nil || name == "" {
		return
	}
	a := d.taken[name]
	d.taken[name] = account{held: a.held.Plus(n), runs: a.runs + runs}
}

// held returns what an organisation would have running.
func (d *Draft) held(name string) (job.Need, int) {
	held, runs := d.ledger.Held(name)
	a := d.taken[name]
	return held.Plus(a.held), runs + a.runs
}

// Share returns which part of a whole the organisation holds, by the resource of which it holds most, divided by its weight: who has the
// least is served first where all want more (dominant resource fairness). Without a weight it counts as 1.
func (d *Draft) Share(name string, whole job.Need) float64 {
	if d == nil || name == "" {
		return 0
	}
	held, _ := d.held(name)
	return Dominant(held, whole) / d.Weight(name)
}

// Weight returns the organisation's weight, 1 when it has none any more.
func (d *Draft) Weight(name string) float64 {
	if d == nil {
		return 1
	}
	if o := d.ledger.Organisation(name); o != nil {
		return o.Weight
	}
	return 1
}

// Dominant returns the largest part that a need is of a whole, over all resources of which there are any.
func Dominant(n, whole job.Need) float64 {
	most := 0.0
	for _, x := range [...]struct{ need, whole int }{{n.MilliCPU, whole.MilliCPU}, {n.MemoryMB, whole.MemoryMB}, {n.GPU, whole.GPU}} {
		if x.whole > 0 {
			most = max(most, float64(x.need)/float64(x.whole))
		}
	}
	return most
}
