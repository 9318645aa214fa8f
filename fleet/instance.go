// SPDX-License-Identifier: MIT

package fleet

import "time"

// InstanceState is where an instance stands between service and planned work.
type InstanceState string

// States of an instance.
const (
	InstanceIdle     InstanceState = "idle"     // in no pool
	InstanceServing  InstanceState = "serving"  // takes new work
	InstanceDraining InstanceState = "draining" // finishes its work, takes none
	InstanceDrained  InstanceState = "drained"  // every entry has acknowledged, nothing runs
	InstanceActing   InstanceState = "acting"   // a platform command may be running
	InstanceRetired  InstanceState = "retired"  // stopped for good
)

// Instance is one worker machine as the fold knows it.
type Instance struct {
	ID         string
	DataCentre string
	Rack       string
	// Address is the IP address and port of the target that runs on the instance.
	Address  string
	Cores    int
	MemoryMB int

	Pool  string
	State InstanceState
	// Generation grows with every take-out, return and assignment.
	Generation uint64
	// Plan is the running plan that has taken the instance out, or empty.
	Plan string
	// DrainOffset is the record that took the instance out.
	DrainOffset int64
	// Command is the ID of the platform command of the last take-out.
	Command string
	// Maintained is when the instance was last maintained, by the clock of the entry that saw it.
	Maintained time.Time

	// Down says that the platform does not report the instance as live.
	Down bool
	// Leaving says that the platform will take the instance away.
	Leaving bool
	// FailedJobs are the latest jobs that failed here in a row, without a success between them.
	FailedJobs []string
	// Quarantined says that the instance gets no jobs until it has been maintained.
	Quarantined bool
}

// Available says that the instance can take work for its pool.
func (i *Instance) Available() bool {
	return i.State == InstanceServing && !i.Down && !i.Leaving
}

// Observe is the record of what the platform's instance list says, for the rows that changed.
type Observe struct {
	Instances []Observation `cbor:"i"`
}

// Observation is the platform's view of one instance; without a DataCentre only Down and Leaving are news.
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

// Differs says whether the observation would change the row, which may be nil.
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
