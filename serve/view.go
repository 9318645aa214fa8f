// SPDX-License-Identifier: MIT

package serve

import (
	"slices"

	"rackstep.dev/fleet"
	"rackstep.dev/org"
	"rackstep.dev/route"
)

// View is what traffic follows: made by control from the tables, never changed after it was set.
type View struct {
	// Offset and Version say which state of the tables the view was made from.
	Offset  int64
	Version uint64
	// Services are the services of the configuration by name.
	Services map[string]*Service
	// Organisations are the callers' teams.
	Organisations *org.Directory
	// Entries are the live entries that can be reached, by data centre and in order of their names.
	Entries map[string][]string
	// ByDistance lists the data centres, the nearest first.
	ByDistance []string
	// RegionSize is the number of data centres at the beginning of Near that are in this entry's region.
	RegionSize int
}

// nearby returns how many of the places, which are in the order of Near, are as near as the first one: in this entry's
// region, or all when none is.
func (v *View) nearby(places []string) int {
	n := 0
	for _, dc := range places {
		if slices.Index(v.ByDistance, dc) < v.RegionSize {
			n++
		}
	}
	if n == 0 {
		return len(places)
	}
	return n
}

// Service is one service as seen from this entry.
type Service struct {
	fleet.Service
	// Owner is the entry of this data centre that runs the service's Gate; empty when there is no target here.
	Owner string
	// Slots is the part of each target's slots that this entry may use as the owner.
	Slots int
	// Targets are the available targets in this data centre.
	Targets []route.Target
	// AvailableIn are the data centres that have an available target.
	AvailableIn []string
}

// Allowed returns the data centres where the request may run, the nearest first.
func (v *View) Allowed(s *Service, bound string) []string {
	var allowed []string
	for _, dc := range v.ByDistance {
		if slices.Contains(s.DataCentres, dc) && (bound == "" || bound == dc) {
			allowed = append(allowed, dc)
		}
	}
	return allowed
}
