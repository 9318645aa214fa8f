// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"math"
	"time"
)

// Spec is a job as submitted by a client.
type Spec struct {
	_ struct{} `cbor:",toarray"`
	// ID is chosen by the client and unique.
	ID string
	// Queue is the queue that accepted the job, and Pool the pool that the queue used at that time.
	Queue, Pool string
	// Text is passed to the workers unchanged.
	Text  string
	Steps []Step
	// Times is the number of repetitions of the steps. If it is 0, they run once, immediately.
	Times int
	// First is when the first repetition is due and Every the interval between repetitions. Both only apply if
	// Times is set.
	First UnixMilli
	Every Milli
	// Taken is when the job was accepted, by the clock of the entry that accepted it.
	Taken UnixMilli
	// Organisation is the organisation that submitted the job, or empty for a public queue. It is not encoded,
	// since the key under which the job is stored contains it.
	Organisation string `cbor:"-"`
}

// UnixMilli is a wall-clock time in milliseconds since 1970.
type UnixMilli int64

// Time returns the time as a time.Time.
func (u UnixMilli) Time() time.Time { return time.UnixMilli(int64(u)) }

// Milli is a duration in milliseconds, as it is stored.
type Milli int64

// Duration returns the duration as a time.Duration, but at most maxSpan.
func (m Milli) Duration() time.Duration {
	return time.Duration(min(m, Milli(maxSpan))) * time.Millisecond
}

// plus returns the time after n intervals. A time beyond the type is the latest one.
func (u UnixMilli) plus(n int, interval Milli) UnixMilli {
	later := int64(n) * int64(interval) // Check bounds both factors
	if int64(u) > math.MaxInt64-later {
		return math.MaxInt64
	}
	return u + UnixMilli(later)
}

// Need is the resources that one task takes from its worker.
type Need struct {
	_ struct{} `cbor:",toarray"`
	// MilliCPU is in thousandths of a core.
	MilliCPU, MemoryMB, GPU int
}

// Minus returns n-o for each resource.
func (n Need) Minus(o Need) Need {
	return Need{MilliCPU: n.MilliCPU - o.MilliCPU, MemoryMB: n.MemoryMB - o.MemoryMB, GPU: n.GPU - o.GPU}
}

// Plus returns n+o for each resource.
func (n Need) Plus(o Need) Need {
	return Need{MilliCPU: n.MilliCPU + o.MilliCPU, MemoryMB: n.MemoryMB + o.MemoryMB, GPU: n.GPU + o.GPU}
}

// Max returns the larger amount of each resource.
func (n Need) Max(o Need) Need {
	return Need{MilliCPU: max(n.MilliCPU, o.MilliCPU), MemoryMB: max(n.MemoryMB, o.MemoryMB), GPU: max(n.GPU, o.GPU)}
}

// Min returns the smaller amount of each resource.
func (n Need) Min(o Need) Need {
	return Need{MilliCPU: min(n.MilliCPU, o.MilliCPU), MemoryMB: min(n.MemoryMB, o.MemoryMB), GPU: min(n.GPU, o.GPU)}
}

// Times returns n multiplied by count.
func (n Need) Times(count int) Need {
	return Need{MilliCPU: n.MilliCPU * count, MemoryMB: n.MemoryMB * count, GPU: n.GPU * count}
}

// AnyNegative reports whether the amount of any resource is negative.
func (n Need) AnyNegative() bool { return n.MilliCPU < 0 || n.MemoryMB < 0 || n.GPU < 0 }

// Step is a group of tasks with the same requirements.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Need
	// Estimate is the client's rough estimate of the run time of one task.
	Estimate Milli
	// After are the numbers of the earlier steps that must be done before this one.
	After []int
	// Saves reports that the tasks save their progress and can resume from it.
	Saves bool
	// Gang tasks run all at once or not at all. SameRack gangs are slow when spread over several racks.
	Gang, SameRack bool
	// Label, if set, must be among the labels of the worker.
	Label string
	// Rack, if set, is the rack with the input data. Tasks are slow elsewhere.
	Rack string
	// PerWorker is the maximum number of tasks of the step, for one repetition, on one worker; 0 means no limit.
	PerWorker int
	// Copies reports that several copies of one task may run at the same time.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image is the name of the program. Tasks of one image behave alike.
	Image string
	// TailTarget is the upper target for the tail latency of a lasting task; 0 means none.
	TailTarget Milli
	// Fills reports that the tasks run in the spare CPU time of their worker: their CPU need is not counted against
	// its capacity.
	Fills bool
	// MayMiss is the number of tasks of a lasting step that planned work may take down at the same time.
	MayMiss int
}

// Limits of a Spec. Jobs beyond them are refused.
const (
	// MaxText is the maximum length of Text in bytes, as stated in the users' interface.
	MaxText = 4000
	// MaxSteps and MaxTasks limit the memory that one job can use.
	MaxSteps = 64
	MaxTasks = 5000
	// maxNeed is the maximum amount of each resource in a Need. No worker has nearly as much.
	maxNeed = 1 << 30
	// maxSpan is the maximum of times and durations: ten years.
	maxSpan = 10 * 365 * 24 * time.Hour / time.Millisecond
)

// SpecError is the reason why a Spec is invalid.
type SpecError struct{ Problem string }

// Error returns the problem.
func (e *SpecError) Error() string { return "job refused: " + e.Problem }

func specErrorf(format string, args ...any) error {
	return &SpecError{Problem: fmt.Sprintf(format, args...)}
}

// Check returns a SpecError if the job can't be stored or run.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return specErrorf("its ID must be 16 hex digits")
	}
	if len(s.Text) > MaxText {
		return specErrorf("its text has %d bytes; at most %d are taken", len(s.Text), MaxText)
	}
	if n := len(s.Steps); n == 0 || n > MaxSteps {
		return specErrorf("it has %d steps; give 1 to %d", n, MaxSteps)
	}
	if s.Times < 0 || s.Every < 0 || s.First < 0 || int64(s.Every) > int64(maxSpan) {
		return specErrorf("its times must be positive and under ten years apart")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if total := tasks * max(s.Times, 1); s.Times > MaxTasks || total > MaxTasks {
		return specErrorf("it has over %d tasks; split it", MaxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return specErrorf("step %d has %d tasks; give 1 to %d", number, s.Count, MaxTasks)
	}
	n := s.Need
	if min(n.MilliCPU, n.MemoryMB, n.GPU) < 0 || max(n.MilliCPU, n.MemoryMB, n.GPU) > maxNeed {
		return specErrorf("step %d asks for a negative or absurd size", number)
	}
	if s.Estimate < 0 || int64(s.Estimate) > int64(maxSpan) || s.TailTarget < 0 || s.MayMiss < 0 || s.PerWorker < 0 {
		return specErrorf("step %d has a negative or absurd time or limit", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return specErrorf("step %d depends on step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}

// ValidID reports whether an ID has the required form.
func ValidID(id string) bool { return len(id) == idLength && isHex(id) }

func isHex(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}
