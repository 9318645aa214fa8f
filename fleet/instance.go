// SPDX-License-Identifier: MIT

package fleet

import "time"

// InstanceState is the state of an instance with regard to service and planned work.
type InstanceState string

// States of an instance.
const (
	InstanceIdle     InstanceState = "idle"     // in no pool
	InstanceServing  InstanceState = "serving"  // takes new work
	InstanceDraining InstanceState = "draining" // finishes its work, takes no new work
	InstanceDrained  InstanceState = "drained"  // every entry has acknowledged and nothing runs
	InstanceActing   InstanceState = "acting"   // a platform command may be running
	InstanceRetired  InstanceState = "retired"  // stopped permanently
)

// Instance is the fold's record of one worker machine.
type Instance struct {
	ID         string
	DataCentre string
	Rack       string
	// Address is the IP address and port of the target on the instance.
	Address  string
	Cores    int
	MemoryMB int

	Pool  string
	State InstanceState
	// Generation increases with every take-out, return and assignment.
	Generation uint64
	// Plan is the plan that has taken the instance out, or empty.
	Plan string
	// DrainOffset is the offset of the record that took the instance out.
	DrainOffset int64
	// Command is the ID of the platform command for the last take-out.
	Command string
	// Maintained is when the instance was last maintained, by the clock of the entry that recorded it.
	Maintained time.Time

	// Down is set when the platform does not report the instance as live.
	Down bool
	// Leaving is set when the platform is going to remove the instance.
	Leaving bool
	// FailedJobs are the jobs that have failed here since the last success.
	FailedJobs []string
	// Quarantined is set when the instance gets no jobs until it has been maintained.
	Quarantined bool
}

// Available reports whether the instance can take work for its pool.
func (i *Instance) Available() bool {
	return i.State == InstanceServing && !i.Down && !i.Leaving
}

// Observe is the record of the rows that changed in the platform's instance list.
type Observe struct {
	Instances []Observation `cbor:"i"`
}

// Observation is the platform's view of one instance. Without a DataCentre only Down and Leaving are updated.
type Observation struct {
	ID         string `cbor:"i"`
	DataCentre string `cbor:"d,omitempty"`
	Rack       string `cbor:"r,omitempty"`
	Address    string `cbor:"a,omitempty"`
	Cores      int    `cbor:"c,omitempty"`
	MemoryMB   int    `cbor:"m,omitempty"`
	Down       bool   `cbor:"x,omitempty"`
	Leaving    bool   `cbor:"l,omitempty"`
}

func (t *Tables) observe(o Observe) *Refusal {
	for _, ob := range o.Instances {
		t.observeOne(ob)
	}
	t.assignMembers()
	return nil
}

func (t *Tables) observeOne(ob Observation) {
	in := t.Instances.Get(ob.ID)
	if in == nil {
		in = t.Instances.Put(ob.ID, Instance{ID: ob.ID, State: InstanceIdle, DrainOffset: -1})
	}
	if ob.DataCentre != "" {
		in.DataCentre, in.Rack, in.Address = ob.DataCentre, ob.Rack, ob.Address
		in.Cores, in.MemoryMB = ob.Cores, ob.MemoryMB
	}
	in.Down = ob.Down
	in.Leaving = ob.Leaving
	if in.State == InstanceRetired && in.Down {
		t.Instances.Delete(ob.ID)
	}
}

// Differs reports whether the observation would change the row, which may be nil.
func (ob Observation) Differs(in *Instance) bool {
	if in == nil {
		return !ob.Down
	}
	if ob.Down != in.Down || ob.Leaving != in.Leaving {
		return true
	}
	return ob.DataCentre != "" && (ob.Address != in.Address || ob.DataCentre != in.DataCentre ||
		ob.Rack != in.Rack || ob.Cores != in.Cores || ob.MemoryMB != in.MemoryMB)
}
