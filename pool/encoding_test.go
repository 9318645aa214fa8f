// SPDX-License-Identifier: MIT

package pool

import (
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/golden"
	"rackstep.dev/job"
)

// What a leader keeps for the next one is read by leaders of other versions.
func TestStoredFormsStay(t *testing.T) {
	c := quicktest.New(t)
	var lessons storedStats
	golden.Fill(&lessons)
	golden.Check(c, "lessons", lessons, job.Encode, job.Decode)
	var wave storedWave
	golden.Fill(&wave)
	golden.Check(c, "wave", wave, job.Encode, job.Decode)
	var incarnation keptIncarnation
	golden.Fill(&incarnation)
	ended := keptIncarnation{LastMachine: incarnation.LastMachine, LastPool: incarnation.LastPool}
	incarnation.LastMachine, incarnation.LastPool = "", ""
	golden.Check(c, "life", incarnation, job.Encode, job.Decode)
	golden.Check(c, "life-ended", ended, job.Encode, job.Decode)
	golden.Check(c, "workers", []keptWorker{{Incarnation: "life", Machine: "machine", Pool: "pool", Address: "address"}}, job.Encode, job.Decode)
}

// The keys of what a leader keeps are read by leaders of other versions.
func TestStoredKeysStay(t *testing.T) {
	c := quicktest.New(t)
	c.Check([]string{stateKey, lostKey, lateKey, settledKey, waveKey, incarnationKey, workersKey, instancesKey, statsKey, idConflictKey}, quicktest.DeepEquals,
		[]string{"s/", "l/", "o/", "r/", "wave/", "w/", "workers", "instances", "lessons", "t/"})
}
