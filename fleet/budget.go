// SPDX-License-Identifier: MIT

package fleet

import "slices"

// Budget is the number of instances of a pool that must stay available through planned work.
type Budget struct {
	// Name is the service's, or the pool's with "pool " before it.
	Name string
	Pool string
	// DataCentres are where instances count; everywhere when empty.
	DataCentres []string
	Min         int
	// MinPerDataCentre is the same within each of DataCentres; none when 0.
	MinPerDataCentre int
}

// Budgets returns the budgets of all services and pools.
func (c *Configuration) Budgets() []Budget {
	var budgets []Budget
	for i := range c.Services {
		s := &c.Services[i]
		budgets = append(budgets, s.Budget())
	}
	for i := range c.Pools {
		if p := &c.Pools[i]; p.MinAvailable > 0 {
			budgets = append(budgets, Budget{Name: "pool " + p.Name, Pool: p.Name, Min: p.MinAvailable})
		}
	}
	return budgets
}

// Budget returns the service's budget.
func (s *Service) Budget() Budget {
	return Budget{Name: s.Name, Pool: s.Pool, DataCentres: s.DataCentres, Min: s.MinAvailable, MinPerDataCentre: s.MinPerDataCentre}
}

// Covers says whether an instance of the pool in the data centre counts for the budget.
func (b *Budget) Covers(pool, dataCentre string) bool {
	return b.Pool == pool && (len(b.DataCentres) == 0 || slices.Contains(b.DataCentres, dataCentre))
}

// Spare is how many more instances a budget can lose.
type Spare struct {
	Total int
	// PerDataCentre is nil when the budget has no minimum per data centre.
	PerDataCentre map[string]int
}

// In returns how many more instances of the data centre can be lost; negative when the budget is broken.
func (s Spare) In(dataCentre string) int {
	if s.PerDataCentre == nil {
		return s.Total
	}
	return min(s.Total, s.PerDataCentre[dataCentre])
}

// Min returns the smallest spare of any data centre.
func (s Spare) Min() int {
	least := s.Total
	for _, n := range s.PerDataCentre {
		least = min(least, n)
	}
	return least
}

// Add counts n more available instances in the data centre.
func (s *Spare) Add(dataCentre string, n int) {
	s.Total += n
	if s.PerDataCentre != nil {
		s.PerDataCentre[dataCentre] += n
	}
}

// Spare returns how many instances the budget can lose now.
func (t *Tables) Spare(b Budget) Spare {
	s := Spare{Total: -b.Min}
	if b.MinPerDataCentre > 0 {
		s.PerDataCentre = make(map[string]int, len(b.DataCentres))
		for _, dc := range b.DataCentres {
			s.PerDataCentre[dc] = -b.MinPerDataCentre
		}
	}
	for _, in := range t.Instances.All {
		if in.Available() && b.Covers(in.Pool, in.DataCentre) {
			s.Add(in.DataCentre, 1)
		}
	}
	return s
}

// TakeOutRefusal says why taking the instance out now would break a budget, or returns nil.
func (t *Tables) TakeOutRefusal(in *Instance) *Refusal {
	if !in.Available() {
		return nil // it is charged to the budgets already
	}
	for _, b := range t.Configuration.Budgets() {
		if !b.Covers(in.Pool, in.DataCentre) {
			continue
		}
		if spare := t.Spare(b).In(in.DataCentre); spare < 1 {
			return refuse(ReasonBudget, "wait until an instance is back, or add capacity to the pool",
				"the budget of %s has no instance of pool %s to spare in %s", b.Name, in.Pool, in.DataCentre)
		}
	}
	return nil
}
