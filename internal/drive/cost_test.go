// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"testing"

	"rackstep.dev/fleet"
	"rackstep.dev/place"
)

// scaled returns the two-year size cut down to the number of pools.
func scaled(pools int) Size {
	s := TwoYears()
	s.Teams = s.Teams * pools / s.Pools
	s.Pools = pools
	return s
}

// filled returns the tables of the size with its jobs placed.
func filled(s Size) *fleet.Tables {
	r := newRun(s, Policy{}, 1)
	r.fill()
	r.place()
	return r.t
}

// BenchmarkCheckpoint gives the time and the bytes of carrying the tables forward, at three sizes.
func BenchmarkCheckpoint(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		t := filled(scaled(pools))
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

// BenchmarkPlace gives the time of one decision with a hundred pending jobs, at three sizes.
func BenchmarkPlace(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		r := newRun(scaled(pools), Policy{}, 1)
		r.fill()
		r.place()
		for i := range 100 {
			r.submit(poolName(i%pools), 1)
		}
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", r.t.Instances.Len(), r.t.Jobs.Len()), func(b *testing.B) {
			for b.Loop() {
				if d := place.Decide(r.t, place.Options{}); len(d.Starts) == 0 {
					b.Fatal("nothing was placed")
				}
			}
		})
	}
}

// BenchmarkFold gives the time of one record of a job's course, at three sizes.
func BenchmarkFold(b *testing.B) {
	for _, pools := range [...]int{2, 8, 22} {
		r := newRun(scaled(pools), Policy{}, 1)
		r.fill()
		r.place()
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", r.t.Instances.Len(), r.t.Jobs.Len()), func(b *testing.B) {
			for b.Loop() {
				r.submit(poolName(0), 1)
			}
		})
	}
}
