// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"reflect"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind is the kind of object, such as "service"; Name is its name.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// What is one of "added", "removed" and "changed".
	What string `json:"what"`
}

// String returns the change on one line.
func (c Change) String() string { return fmt.Sprintf("%s %s %s", c.What, c.Kind, c.Name) }

// Diff returns the changes from old to new, in the order of the configuration's fields.
func Diff(old, new Configuration) []Change {
	var all []Change
	all = append(all, diffRows("data centre", old.DataCentres, new.DataCentres, dataCentreName)...)
	all = append(all, diffRows("pool", old.Pools, new.Pools, poolName)...)
	all = append(all, diffRows("service", old.Services, new.Services, serviceName)...)
	all = append(all, diffRows("team", old.Teams, new.Teams, teamName)...)
	all = append(all, diffRows("operator", old.Operators, new.Operators, operatorName)...)
	if old.Weights != new.Weights {
		all = append(all, Change{Kind: "weights", What: "changed"})
	}
	return all
}

func diffRows[R any](kind string, old, new []R, nameOf func(*R) string) []Change {
	var changes []Change
	for i := range old {
		name := nameOf(&old[i])
		switch row := byName(new, name, nameOf); {
		case row == nil:
			changes = append(changes, Change{kind, name, "removed"})
		case !reflect.DeepEqual(old[i], *row):
			changes = append(changes, Change{kind, name, "changed"})
		}
	}
	for i := range new {
		if name := nameOf(&new[i]); byName(old, name, nameOf) == nil {
			changes = append(changes, Change{kind, name, "added"})
		}
	}
	return changes
}
