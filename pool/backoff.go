// SPDX-License-Identifier: MIT

package pool

import "time"

// Limits of increasing pauses.
const (
	// refusedBackoff is the pause after the second consecutive refusal of a task's start. The first refusal is
	// retried at once, because its reason may concern the worker only.
	refusedBackoff = 20 * time.Millisecond
	// maxBackoff limits every pause: a lasting task must not be down for three seconds while there is room for it.
	maxBackoff = 1600 * time.Millisecond
)

// backoff returns the pause before the next attempt after a number of consecutive failures: none for 0, then first,
// doubling with each further failure up to maxBackoff.
func backoff(failures int, first time.Duration) time.Duration {
	if failures <= 0 {
		return 0
	}
	const doublings = 10 // reaches the limit with any first pause
	return min(first<<min(failures-1, doublings), maxBackoff)
}

// pauseAfter returns the pause after work that took the given time: a multiple of that time, but at most longest. The time may include some in
// which the process was suspended or waited for the processor, so that without a bound the pause would be a multiple of that too.
func pauseAfter(took time.Duration, factor int, longest time.Duration) time.Duration {
	return min(time.Duration(factor)*took, longest)
}
