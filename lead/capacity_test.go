// SPDX-License-Identifier: MIT

package lead

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/internal/golden"
)

// The two sizes of entries, and what leading a large deployment requires.
var (
	largeCapacity = Capacity{Processor: 0.8, Link: 25e6, Descriptors: 5594, Memory: 536e6}
	smallCapacity = Capacity{Processor: 0.192, Link: 1.25e6, Descriptors: 2730, Memory: 184e6}
	heavyDemand   = Capacity{Processor: 0.3, Link: 5e6, Descriptors: 438, Memory: 100e6}
)

// TestFitnessIsTheScarcestResource guards against an entry that has enough of all but one resource counting as fit.
func TestFitnessIsTheScarcestResource(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(largeCapacity.Fitness(heavyDemand), quicktest.Equals, 1.0)
	c.Assert(smallCapacity.Fitness(heavyDemand), quicktest.Equals, 0.25)
	c.Assert(smallCapacity.Fitness(Capacity{}), quicktest.Equals, 1.0, quicktest.Commentf("nothing is required"))
	c.Assert(Capacity{}.Fitness(heavyDemand), quicktest.Equals, 1.0, quicktest.Commentf("nothing is limited"))
	c.Assert(Capacity{Processor: 0.3, Memory: 50e6}.Fitness(heavyDemand), quicktest.Equals, 0.5)
}

// TestRequirementFollowsLoadAndIgnoresPauses guards against a requirement that is written on each fluctuation of the load, or
// that a pause between two bursts lowers.
func TestRequirementFollowsLoadAndIgnoresPauses(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	var r requirement
	measure := func(link float64, after time.Duration) float64 {
		now = now.Add(after)
		r.published.Required = r.merge(Capacity{Link: link}, now)
		return r.published.Required.Link
	}
	c.Assert(measure(100, time.Second), quicktest.Equals, 100.0)
	c.Assert(measure(115, time.Second), quicktest.Equals, 100.0)
	c.Assert(measure(200, time.Second), quicktest.Equals, 200.0)
	for range 50 {
		c.Assert(measure(10, time.Second), quicktest.Equals, 200.0)
	}
	c.Assert(measure(150, time.Second), quicktest.Equals, 200.0)
	for range 60 {
		c.Assert(measure(30, time.Second), quicktest.Equals, 200.0)
	}
	c.Assert(measure(20, time.Second), quicktest.Equals, 30.0)
}

// The records are maps whose keys are the format: entries of two versions read each other's records.
func TestStoredFormOfCapacityStays(t *testing.T) {
	c := quicktest.New(t)
	golden.Check(c, "capacity", capacityRecord{Fence: 65537, Leader: smallCapacity, Required: heavyDemand, Fittest: largeCapacity}, cbor.Marshal, cbor.Unmarshal)
	golden.Check(c, "successor", successorRecord{Entry: "entry", Boot: "boot", Fence: 65537}, cbor.Marshal, cbor.Unmarshal)
}
