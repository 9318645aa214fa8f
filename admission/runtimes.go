// SPDX-License-Identifier: MIT

package admission

import (
	"math"
	"time"

	"rackstep.dev/job"
)

// RunTimes is what the leader has learned about the run times of a queue's tasks.
type RunTimes struct {
	// LogMean is the mean logarithm of run times in seconds.
	LogMean float64
	// Trust is the weight of a client's estimate against LogMean, from 0 to 1.
	Trust float64
	// LogError is the standard deviation of the logarithm of an estimate's error.
	LogError float64
}

// NewRunTimes combines the mean and variance of the logarithms of run times with the mean squared error of the logarithms of clients'
// estimates.
func NewRunTimes(mean, variance, estimateError float64) RunTimes {
	if variance+estimateError <= 0 {
		return RunTimes{LogMean: mean}
	}
	return RunTimes{LogMean: mean, Trust: variance / (variance + estimateError), LogError: math.Sqrt(variance * estimateError / (variance + estimateError))}
}

// Estimate returns the expected run time of a task with the client's estimate, which may be 0: the geometric mean of the estimate and
// the mean run time, weighted by how accurate estimates have been.
func (r RunTimes) Estimate(submitted time.Duration) time.Duration {
	log := r.LogMean
	if e := submitted.Seconds(); e > 0 {
		log = r.Trust*math.Log(e) + (1-r.Trust)*r.LogMean
	}
	return seconds(math.Exp(log))
}

// Size is the estimated size of a job.
type Size struct {
	// Path is the length of the critical path, and Work the work of all tasks in core-seconds.
	Path time.Duration
	Work float64
}

// SizeOf estimates the size of a job.
func (r RunTimes) SizeOf(s *job.Spec) Size {
	var size Size
	var ends [job.MaxSteps]time.Duration
	for i := range s.Steps {
		step := &s.Steps[i]
		d := r.Estimate(step.Estimate.Duration())
		var from time.Duration
		for _, a := range step.After {
			from = max(from, ends[a])
		}
		ends[i] = from + d
		size.Path = max(size.Path, ends[i])
		size.Work += float64(step.Count) * d.Seconds() * float64(step.Need.MilliCPU) / milli
	}
	return size
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// milli converts a unit to its thousandths.
const milli = 1000
