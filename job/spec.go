// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"time"
)

// Spec is a job as a client handed it in.
type Spec struct {
	_ struct{} `cbor:",toarray"`
	// ID is chosen by the client and unique.
	ID string
	// Queue names the queue that took the job, Pool the pool that the queue then used.
	Queue, Pool string
	// Text is passed on to the workers as it is.
	Text  string
	Steps []Step
	// Times is how often the steps run; once, at once, when 0.
	Times int
	// First is when the first time is due and Every the pause to the next; with Times only.
	First UnixMilli
	Every Milli
	// Taken is when the job was accepted, by the clock of the entry that took it.
	Taken UnixMilli
	// Organisation is the name of who handed it in, empty for a public queue's; it is kept in the job's key, not here.
	Organisation string `cbor:"-"`
}

// UnixMilli is a time of day in milliseconds since 1970.
type UnixMilli int64

// Time returns the time of day.
func (u UnixMilli) Time() time.Time { return time.UnixMilli(int64(u)) }

// Milli is a duration in milliseconds, as it is kept.
type Milli int64

// Duration returns the duration.
func (m Milli) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Need is what one task takes from its worker.
type Need struct {
	_ struct{} `cbor:",toarray"`
	// MilliCPU is in thousandths of a core.
	MilliCPU, MemoryMB, GPU int
}

// Minus returns what is left of a need without another.
func (n Need) Minus(o Need) Need {
	return Need{MilliCPU: n.MilliCPU - o.MilliCPU, MemoryMB: n.MemoryMB - o.MemoryMB, GPU: n.GPU - o.GPU}
}

// Plus returns two needs together.
func (n Need) Plus(o Need) Need {
	return Need{MilliCPU: n.MilliCPU + o.MilliCPU, MemoryMB: n.MemoryMB + o.MemoryMB, GPU: n.GPU + o.GPU}
}

// Max returns the larger of each figure of two needs.
func (n Need) Max(o Need) Need {
	return Need{MilliCPU: max(n.MilliCPU, o.MilliCPU), MemoryMB: max(n.MemoryMB, o.MemoryMB), GPU: max(n.GPU, o.GPU)}
}

// Min returns the smaller of each figure of two needs.
func (n Need) Min(o Need) Need {
	return Need{MilliCPU: min(n.MilliCPU, o.MilliCPU), MemoryMB: min(n.MemoryMB, o.MemoryMB), GPU: min(n.GPU, o.GPU)}
}

// Times returns what that many of the need are.
func (n Need) Times(count int) Need {
	return Need{MilliCPU: n.MilliCPU * count, MemoryMB: n.MemoryMB * count, GPU: n.GPU * count}
}

// AnyNegative says that there is less than nothing of something.
func (n Need) AnyNegative() bool { return n.MilliCPU < 0 || n.MemoryMB < 0 || n.GPU < 0 }

// Step is a group of like tasks.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Need
	// Estimate is the client's rough guess of a task's run time.
	Estimate Milli
	// After are the numbers of earlier steps that must be done first.
	After []int
	// Saves says that tasks save their progress and can continue from it.
	Saves bool
	// Gang tasks run all together or not at all; SameRack ones are slow when spread.
	Gang, SameRack bool
	// Label must be among the worker's labels, when set.
	Label string
	// Rack is where the data lies, when set; elsewhere a task is slow.
	Rack string
	// PerWorker is the most tasks of the step (of one time) on one worker; any number when 0.
	PerWorker int
	// Copies says that copies of a task may run beside each other.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// TailTarget is the time under which the tail of a lasting task's own answers is to stay; none when 0.
	TailTarget Milli
	// Fills says that the task's processor share is not counted against the worker's room.
	Fills bool
	// MayMiss is how many tasks of a lasting step may be away at once through planned work.
	MayMiss int
}

// Limits of a Spec; a client's job beyond them is refused.
const (
	// MaxText is the longest Text in bytes, as the users' interface states it.
	MaxText = 4000
	// MaxSteps and MaxTasks bound the memory that one job can take.
	MaxSteps = 64
	MaxTasks = 5000
	// maxNeed bounds each figure of a Need; no worker comes near it.
	maxNeed = 1 << 30
	// maxSpan bounds times and durations: ten years.
	maxSpan = 10 * 365 * 24 * time.Hour / time.Millisecond
)

// SpecError says what is wrong with a Spec.
type SpecError struct{ Problem string }

// Error returns the problem.
func (e *SpecError) Error() string { return "job refused: " + e.Problem }

func refuse(format string, args ...any) error {
	return &SpecError{Problem: fmt.Sprintf(format, args...)}
}

// Check returns a SpecError for a job that can't be kept or run.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return refuse("its ID must be 16 hex digits")
	}
	if len(s.Text) > MaxText {
		return refuse("its text has %d bytes; at most %d are taken", len(s.Text), MaxText)
	}
	if n := len(s.Steps); n == 0 || n > MaxSteps {
		return refuse("it has %d steps; give 1 to %d", n, MaxSteps)
	}
	if s.Times < 0 || s.Every < 0 || s.First < 0 || int64(s.Every) > int64(maxSpan) {
		return refuse("its times must be positive and under ten years apart")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if total := tasks * max(s.Times, 1); s.Times > MaxTasks || total > MaxTasks {
		return refuse("it has over %d tasks; split it", MaxTasks)
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return refuse("step %d has %d tasks; give 1 to %d", number, s.Count, MaxTasks)
	}
	n := s.Need
	if min(n.MilliCPU, n.MemoryMB, n.GPU) < 0 || max(n.MilliCPU, n.MemoryMB, n.GPU) > maxNeed {
		return refuse("step %d asks for a negative or absurd size", number)
	}
	if s.Estimate < 0 || int64(s.Estimate) > int64(maxSpan) || s.TailTarget < 0 || s.MayMiss < 0 || s.PerWorker < 0 {
		return refuse("step %d has a negative or absurd time or limit", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return refuse("step %d depends on step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}

// ValidID says whether a client may choose the ID.
func ValidID(id string) bool { return len(id) == idLength && isHex(id) }

func isHex(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}
