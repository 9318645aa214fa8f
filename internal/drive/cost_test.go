// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"testing"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// scaledTo returns the two-year size reduced to the number of pools, with teams in proportion.
func scaledTo(pools int) Size {
	s := TwoYears()
	s.Teams = s.Teams * pools / s.Pools
	s.Pools = pools
	return s
}

// newPlacedTables returns the tables of the size after its jobs are submitted and placed.
func newPlacedTables(s Size) *fleet.Tables {
	r := newSimulation(s, Policy{}, 1)
	r.submitJobs()
	r.placeJobs()
	return r.tables
}

// BenchmarkCheckpoint measures writing and loading a checkpoint of the tables, and its size, at three sizes.
func BenchmarkCheckpoint(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		t := newPlacedTables(scaledTo(pools))
		name := fmt.Sprintf("workers=%d/jobs=%d", t.Instances.Len(), t.Jobs.Len())
		data, err := t.Checkpoint()
		if err != nil {
			b.Fatal(err)
		}
		b.Run("write/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := t.Checkpoint(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run("load/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fleet.LoadCheckpoint(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlace measures one placement decision with a hundred pending jobs, at three sizes.
func BenchmarkPlace(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		r := newSimulation(scaledTo(pools), Policy{}, 1)
		r.submitJobs()
		r.placeJobs()
		for i := range 100 {
			r.submit(poolName(i%pools), 1)
		}
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", r.tables.Instances.Len(), r.tables.Jobs.Len()), func(b *testing.B) {
			for b.Loop() {
				if d := place.Decide(r.tables, place.Options{}); len(d.Starts) == 0 {
					b.Fatal("no pending job was placed")
				}
			}
		})
	}
}

// BenchmarkFold measures applying one submit record to the tables, at three sizes.
func BenchmarkFold(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		r := newSimulation(scaledTo(pools), Policy{}, 1)
		r.submitJobs()
		r.placeJobs()
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", r.tables.Instances.Len(), r.tables.Jobs.Len()), func(b *testing.B) {
			for b.Loop() {
				r.submit(poolName(0), 1)
			}
		})
	}
}
