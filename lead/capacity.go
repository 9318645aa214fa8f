// SPDX-License-Identifier: MIT

package lead

import "fmt"

// resourceCount is the number of a Capacity's fields.
const resourceCount = 4

// Capacity is what an entry has for leading, or what leading requires. A zero field of an entry's capacity means no limit, and
// one of a requirement that nothing is required.
type Capacity struct {
	// Processor is in cores, Link in bytes a second and Memory in bytes. Descriptors counts connections to workers.
	Processor   float64 `cbor:"1,keyasint,omitempty"`
	Link        float64 `cbor:"2,keyasint,omitempty"`
	Descriptors float64 `cbor:"3,keyasint,omitempty"`
	Memory      float64 `cbor:"4,keyasint,omitempty"`
}

// Fitness returns the smallest ratio of what the entry has to what is required, at most 1.
func (c Capacity) Fitness(required Capacity) float64 {
	fitness := 1.0
	has, needs := c.resources(), required.resources()
	for i := range has {
		if has[i] > 0 && needs[i] > 0 {
			fitness = min(fitness, has[i]/needs[i])
		}
	}
	return fitness
}

// String returns the capacity for logs.
func (c Capacity) String() string {
	return fmt.Sprintf("%.2f cores, %.1f Mbit/s, %.0f connections, %.0f MB", c.Processor, c.Link*8/1e6, c.Descriptors, c.Memory/1e6)
}

// resources returns the fields in a fixed order, for functions that treat them alike.
func (c Capacity) resources() [resourceCount]float64 {
	return [...]float64{c.Processor, c.Link, c.Descriptors, c.Memory}
}

// capacityOf is the inverse of resources.
func capacityOf(r [resourceCount]float64) Capacity {
	return Capacity{Processor: r[0], Link: r[1], Descriptors: r[2], Memory: r[3]}
}
