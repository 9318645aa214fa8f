// SPDX-License-Identifier: MIT

package serve

import (
	"slices"

	"rackstep.dev/fleet"
	"rackstep.dev/org"
	"rackstep.dev/route"
)

// View is the immutable state by which requests are routed. Control derives it from the tables.
type View struct {
	// Offset and Version identify the state of the tables from which the view was made.
	Offset  int64
	Version uint64
	// Services are the services of the configuration by name.
	Services map[string]*Service
	// Organisations are the callers' teams.
	Organisations *org.Directory
	// Entries are the live entries that can be reached, by data centre and sorted by name.
	Entries map[string][]string
	// ByDistance lists the data centres, nearest first.
	ByDistance []string
	// RegionSize is the number of data centres at the start of ByDistance that are in this entry's region.
	RegionSize int
}

// nearbyCount returns how many of the data centres, which must be in the order of ByDistance, are in this entry's region. When
// none is, it returns the number of all, because none is preferred.
func (v *View) nearbyCount(dataCentres []string) int {
	n := 0
	for _, dc := range dataCentres {
		if slices.Index(v.ByDistance, dc) < v.RegionSize {
			n++
		}
	}
	if n == 0 {
		return len(dataCentres)
	}
	return n
}

// Service is a service with its routing state on this entry.
type Service struct {
	fleet.Service
	// Owner is the entry of this data centre that runs the service's Gate; empty when the data centre has no target of it.
	Owner string
	// Slots is the number of each target's slots that this entry may use as the owner.
	Slots int
	// Targets are the available targets in this data centre.
	Targets []route.Target
	// AvailableIn are the data centres that have an available target.
	AvailableIn []string
}

// Allowed returns the data centres where a request for the service may run, nearest first. A non-empty bound restricts them to
// that data centre.
func (v *View) Allowed(s *Service, bound string) []string {
	var allowed []string
	for _, dc := range v.ByDistance {
		if slices.Contains(s.DataCentres, dc) && (bound == "" || bound == dc) {
			allowed = append(allowed, dc)
		}
	}
	return allowed
}
