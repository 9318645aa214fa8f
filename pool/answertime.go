// SPDX-License-Identifier: MIT

package pool

import "time"

// answerTime tracks the median time that workers take to answer starts, so that a leader whose own calls are slow does not take answers for lost that are still
// coming. It would send each start several times, which slows its calls further, and would hold the tasks as if the starts could be carried out late.
//
// The median is followed in small steps. Starts that get no answer count as slow, but do not move it unless they are as many as the others. The zero value is ready
// for use.
type answerTime struct{ median time.Duration }

const (
	// minAnswerTime is the least median that is assumed.
	minAnswerTime = 5 * time.Millisecond
	// answerTimeStep is the factor by which each answer moves the median up or down.
	answerTimeStep = 1.1
	// answerTimeFactor times the median is how long an answer may take; nine in ten answers of a loaded leader take twice the median.
	answerTimeFactor = 3
)

// observe takes an answer into account that took the given time.
func (a *answerTime) observe(took time.Duration) {
	if took > a.median {
		a.median = time.Duration(float64(max(a.median, minAnswerTime)) * answerTimeStep)
	} else {
		a.median = time.Duration(float64(a.median) / answerTimeStep)
	}
	a.median = min(max(a.median, minAnswerTime), orderTimeout)
}

// unanswered takes a start into account that got no answer.
func (a *answerTime) unanswered() { a.observe(orderTimeout) }

// startTimeout returns the timeout of an attempt to start a run that follows the given number of earlier ones.
func (a *answerTime) startTimeout(earlier int) time.Duration {
	first := max(startTimeout, answerTimeFactor*a.median)
	return min(first<<min(earlier, quickAttempts-1), orderTimeout)
}
