// SPDX-License-Identifier: MIT

package org

import (
	"maps"
	"slices"

	"rackstep.dev/job"
)

// account is the resource usage of one organisation.
type account struct {
	held job.Need
	runs int
}

// Ledger counts the resources that each organisation's runs use, and knows the limits. The zero value is ready to
// use and has no limits. A Ledger is not safe for concurrent use.
//
// Work without an organisation is not counted.
type Ledger struct {
	directory *Directory
	accounts  map[string]*account
	// former holds the last known settings of organisations that were removed. Their accepted jobs continue to run
	// under their caps.
	former map[string]*Organisation
}

// SetDirectory installs a version of the directory. Running tasks remain counted, and none is stopped when a cap is
// lowered.
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

// Organisation returns the current settings of an organisation, the last known ones if it was removed, or nil if it
// was never configured.
func (l *Ledger) Organisation(name string) *Organisation {
	if o := l.directory.ByName(name); o != nil {
		return o
	}
	return l.former[name]
}

// Directory returns the installed directory, or nil before the first SetDirectory.
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

// Acquire adds a run to the ledger. It does nothing on a nil Ledger.
func (l *Ledger) Acquire(name string, n job.Need) {
	if l == nil || name == "" {
		return
	}
	a := l.account(name)
	a.held, a.runs = a.held.Plus(n), a.runs+1
}

// Release removes a run that has certainly ended or was never started. It does nothing on a nil Ledger.
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

// Held returns the resources that the organisation's runs use and the number of these runs.
func (l *Ledger) Held(name string) (job.Need, int) {
	if a := l.accounts[name]; a != nil {
		return a.held, a.runs
	}
	return job.Need{}, 0
}

// Names returns the sorted names of the organisations that have runs.
func (l *Ledger) Names() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// OverCap reports whether the organisation exceeds its cap while it has other runs besides the given one of need n,
// which is already counted. Its order must not be sent then. This happens when a cap is lowered after the task was
// placed and before its order is sent.
func (l *Ledger) OverCap(name string, n job.Need) bool {
	o := l.Organisation(name)
	if o == nil {
		return false
	}
	held, runs := l.Held(name)
	return runs > 1 && !within(held, o.Cap, n)
}

// HasCaps reports whether any organisation, current or former, has a cap.
func (l *Ledger) HasCaps() bool {
	for _, o := range l.former {
		if o.Cap != (job.Need{}) {
			return true
		}
	}
	return l.directory.hasCaps()
}

// Draft returns a working copy for one placement decision. The function unknown returns resources that an
// organisation may use in runs that have not been reported yet; they count against its cap. A nil function means
// that there are none.
func (l *Ledger) Draft(unknown func(name string) job.Need) *Draft {
	if unknown == nil {
		unknown = func(string) job.Need { return job.Need{} }
	}
	return &Draft{ledger: l, unknown: unknown, taken: make(map[string]account)}
}

// within reports whether total is within limit in every resource that need asks for. A task that needs no memory may
// start although the memory limit is exceeded.
func within(total, limit, need job.Need) bool {
	return (limit.MilliCPU == 0 || need.MilliCPU == 0 || total.MilliCPU <= limit.MilliCPU) &&
		(limit.MemoryMB == 0 || need.MemoryMB == 0 || total.MemoryMB <= limit.MemoryMB) &&
		(limit.GPU == 0 || need.GPU == 0 || total.GPU <= limit.GPU)
}

// Draft is a Ledger plus the runs that one placement decision adds.
type Draft struct {
	ledger  *Ledger
	unknown func(name string) job.Need
	taken   map[string]account
}

// Admits reports whether the organisation may start the given number of further runs of need n, all of them
// together. A nil Draft admits everything.
//
// A single run that is larger than the cap is admitted when the organisation has no other run.
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

// Acquire adds a run to the draft.
func (d *Draft) Acquire(name string, n job.Need) { d.change(name, n, 1) }

// Release removes a run that Acquire has added.
func (d *Draft) Release(name string, n job.Need) { d.change(name, job.Need{}.Minus(n), -1) }

func (d *Draft) change(name string, n job.Need, runs int) {
	if d == nil || name == "" {
		return
	}
	a := d.taken[name]
	d.taken[name] = account{held: a.held.Plus(n), runs: a.runs + runs}
}

// held returns the usage including the draft's runs.
func (d *Draft) held(name string) (job.Need, int) {
	held, runs := d.ledger.Held(name)
	a := d.taken[name]
	return held.Plus(a.held), runs + a.runs
}

// Share returns the organisation's dominant share of the total resources divided by its weight, as in dominant
// resource fairness: where there is not enough for all, the organisation with the lowest value is served first.
func (d *Draft) Share(name string, whole job.Need) float64 {
	if d == nil || name == "" {
		return 0
	}
	held, _ := d.held(name)
	return Dominant(held, whole) / d.Weight(name)
}

// Weight returns the organisation's weight, or 1 if it is not known.
func (d *Draft) Weight(name string) float64 {
	if d == nil {
		return 1
	}
	if o := d.ledger.Organisation(name); o != nil {
		return o.Weight
	}
	return 1
}

// Dominant returns the largest fraction that need n takes of any resource of the total. Resources with a total of 0
// are ignored.
func Dominant(n, whole job.Need) float64 {
	most := 0.0
	for _, x := range [...]struct{ need, whole int }{{n.MilliCPU, whole.MilliCPU}, {n.MemoryMB, whole.MemoryMB}, {n.GPU, whole.GPU}} {
		if x.whole > 0 {
			most = max(most, float64(x.need)/float64(x.whole))
		}
	}
	return most
}
