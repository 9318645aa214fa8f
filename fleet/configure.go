// SPDX-License-Identifier: MIT

package fleet

// Configure is the record that publishes a configuration.
type Configure struct {
	// Base is the version that the configuration is based on.
	Base          uint64        `cbor:"b"`
	Configuration Configuration `cbor:"c"`
}

func (t *Tables) configure(c Configure) *Refusal {
	if c.Base != t.Version {
		return refuse(ReasonStale, "read the current configuration, repeat your change on it and apply again",
			"it was made from version %d and version %d is in force", c.Base, t.Version)
	}
	if p := c.Configuration.Check(); len(p) > 0 {
		return refuse(ReasonInvalid, "correct it; 'rackstep apply --check' lists every problem",
			"%d problems, the first at %s", len(p), p[0])
	}
	for id, in := range t.Instances.All {
		if in.Pool != "" && c.Configuration.Pool(in.Pool) == nil {
			return refuse(ReasonInUse, "move its instances to another pool first",
				"pool %q is gone from the configuration and still holds instance %s", in.Pool, id)
		}
	}
	t.Configuration = c.Configuration
	t.Version++
	t.Published = t.Offset
	t.assignMembers()
	return nil
}

// assignMembers assigns each instance that has never been in a pool to the pool that lists it as a member.
func (t *Tables) assignMembers() {
	for _, p := range t.Configuration.Pools {
		for _, id := range p.Members {
			in := t.Instances.Get(id)
			if in == nil || in.Pool != "" || in.Generation > 0 {
				continue
			}
			in.Pool = p.Name
			in.State = InstanceServing
			in.Generation = 1
		}
	}
}
