// SPDX-License-Identifier: MIT

package fleet

import "slices"

// Margin returns how many more instances the service can lose before its budget breaks; negative when it is broken.
func (t *Tables) Margin(s *Service) int {
	total, perCentre := t.availableTo(s)
	margin := total - s.MinAvailable
	if s.MinPerDataCentre > 0 {
		for _, dc := range s.DataCentres {
			margin = min(margin, perCentre[dc]-s.MinPerDataCentre)
		}
	}
	return margin
}

func (t *Tables) availableTo(s *Service) (total int, perCentre map[string]int) {
	perCentre = make(map[string]int, len(s.DataCentres))
	for _, in := range t.Instances.All {
		if in.Pool == s.Pool && in.Available() && slices.Contains(s.DataCentres, in.DataCentre) {
			total++
			perCentre[in.DataCentre]++
		}
	}
	return total, perCentre
}

// TakeOutRefusal says why taking the instance out now would break a budget, or returns nil.
func (t *Tables) TakeOutRefusal(in *Instance) *Refusal {
	if !in.Available() {
		return nil // it is charged to the budgets already
	}
	for i := range t.Configuration.Services {
		s := &t.Configuration.Services[i]
		if s.Pool != in.Pool || !slices.Contains(s.DataCentres, in.DataCentre) {
			continue
		}
		total, perCentre := t.availableTo(s)
		if total-1 < s.MinAvailable || (s.MinPerDataCentre > 0 && perCentre[in.DataCentre]-1 < s.MinPerDataCentre) {
			return refuse(ReasonBudget, "wait until an instance is back, or add capacity to the pool",
				"service %q has %d instances available, %d of them in %s, and its budget needs them",
				s.Name, total, perCentre[in.DataCentre], in.DataCentre)
		}
	}
	return nil
}
