// SPDX-License-Identifier: MIT

package job

import "time"

// WaitNote is what the leader remembers of a task that waits although it could run, from one check of the waiting tasks to the next. It is not stored.
type WaitNote struct {
	// Since is when the task was first seen to wait, and ReasonSince since when it waits for Reason, as times since the start of the leader's term.
	Since, ReasonSince time.Duration
	// Check is the number of the latest check that found the task waiting.
	Check uint32
	// Logged has one bit for each reason that was logged.
	Logged uint32
	// Reason is a value of the leader's type of reasons.
	Reason uint8
	// Longest is the longest time for which the task has waited for one reason since its latest run was ordered, and LongestReason that reason.
	Longest       time.Duration
	LongestReason uint8
}
