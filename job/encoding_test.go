// SPDX-License-Identifier: MIT

package job

import (
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/golden"
)

// The stored records of jobs are arrays, whose order of fields is the format: a field that is moved or dropped would be read as another one by a
// leader of another version, or from what an earlier version stored.
func TestStoredFormsStay(t *testing.T) {
	c := quicktest.New(t)
	spec := Spec{
		ID: "00112233445566aa", Queue: "queue", Pool: "pool", Text: "text",
		Steps: []Step{
			{
				Count: 2, Need: Need{MilliCPU: 3, MemoryMB: 4, GPU: 5}, Estimate: 6, After: []int{7, 8}, Saves: true, SameRack: true,
				Label: "label", Rack: "rack", PerWorker: 9, Lasting: true, Image: "image", TailTarget: 10, MayMiss: 11,
			},
			{Count: 12, Gang: true, Copies: true, Fills: true},
		},
		Times: 13, First: 14, Every: 15, Taken: 16, Organisation: "organisation",
	}
	golden.Check(c, "spec", spec, Encode, Decode)
	golden.Check(c, "kept", Stored{
		State: 3, Done: []byte{4, 5}, Failed: []FailedRun{{Ordinal: 6, Run: 7}}, Ended: 8, Began: true,
		Runs: []OrderedRun{{Ordinal: 9, Run: 10, Life: "life"}},
	}, Encode, Decode)
	golden.Check(c, "kept-running", Stored{State: 1}, Encode, Decode)
	golden.Check(c, "kept-late", []StoredLate{{Ordinal: 1, Until: 2}}, Encode, Decode)
	golden.Check(c, "kept-lost", []StoredLost{
		{Ordinal: 1, Run: 2, Life: "life", AgeMS: 3, Suspects: 4, Isolated: true},
		{Ordinal: 5, Run: 6, Life: "next", AgeMS: -1, Suspects: 7, Conclusive: true},
	}, Encode, Decode)
}

// The numbers of states are stored and must not be given to other states.
func TestNumbersOfStatesStay(t *testing.T) {
	c := quicktest.New(t)
	c.Check([]State{Queued, Running, Succeeded, Failed, Cancelled}, quicktest.DeepEquals, []State{0, 1, 2, 3, 4})
}
