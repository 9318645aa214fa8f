// SPDX-License-Identifier: MIT

package place

import (
	"math"
	"time"
)

// Estimate is the estimated run time and value of a job.
type Estimate struct {
	// From is when the job was submitted. Target is the time from then within which it yields its full value.
	From   time.Time
	Target time.Duration
	// Total is the duration of the whole job if nothing has to wait, and Remaining that of what is left of it.
	Total, Remaining time.Duration
	// Density is the value of the job for each core-second that it still needs, if it finishes in time.
	Density float64
}

// Outlook is the evaluation of an Estimate at one time.
type Outlook struct {
	// Slack is the time until the job can no longer finish in time.
	Slack time.Duration
	// Expected is the expected value for each core-second that the job still needs, if it continues now.
	Expected float64
}

// Parameters of the expected value. On loads of short and of bulk jobs like that of
// TestInOverloadSomeAreInTimeRatherThanAllLate, at 0.7 to 4 times the capacity, with and without an outage, they yield
// 0.690 of the total value on average. A hard cut-off at no slack yields 0.647, and changing any one of the values
// 0.68 to 0.69.
const (
	// A late job yields LatePart of its value until lateFactor times its target time, and nothing afterwards, as
	// defined by the users' rules.
	lateFactor = 3
	LatePart   = 0.07
	// The error of an estimate is taken to be errorPart of the remaining time plus minError.
	errorPart = 0.35
	minError  = 100 * time.Millisecond
	// tolerance is by how much a job may seem to miss its target and still have an even chance of being in time. It
	// favours such jobs because a job that is given up has no second chance.
	tolerance = 600 * time.Millisecond
	// maxDeferral is the fraction of its rank that a job with all of its slack left cedes to jobs that can't wait.
	maxDeferral = 0.5
	// logisticScale makes the logistic function approximate the normal distribution with a standard deviation of
	// one.
	logisticScale = 1.7
)

// At returns the outlook at the given time.
//
// Whether a job will be in time is treated as a probability and not as a hard limit, because estimates are off by a
// factor of up to three. Of two jobs of the same value, one that can only just be in time goes before one that can
// wait.
func (e Estimate) At(now time.Time) Outlook {
	slack := e.slack(now)
	untilWorthless := slack + (lateFactor-1)*e.Target
	estimateError := e.error()
	inTime := probability(slack+tolerance, estimateError)
	late := (1 - inTime) * probability(untilWorthless, estimateError)
	slackPart := 0.0
	if spare := e.Target - e.Total; spare > 0 {
		slackPart = min(max(slack.Seconds()/spare.Seconds(), 0), 1)
	}
	return Outlook{Slack: slack, Expected: e.Density * (inTime*(1-maxDeferral*slackPart) + LatePart*late)}
}

func (e Estimate) slack(now time.Time) time.Duration {
	return e.From.Add(e.Target).Sub(now) - e.Remaining
}

func (e Estimate) error() time.Duration {
	return time.Duration(errorPart*float64(e.Remaining)) + minError
}

// InTime returns the probability that the job ends in time if it continues now, and the time for which it can wait
// before that is less likely than not.
func (e Estimate) InTime(now time.Time) (probable float64, wait time.Duration) {
	margin := e.slack(now) + tolerance
	return probability(margin, e.error()), max(margin, 0)
}

// MayBeInTime reports whether a job that continued with the given slack was more likely than not to be in time.
func MayBeInTime(slack time.Duration) bool { return slack+tolerance >= 0 }

// probability returns the probability that a condition holds that is estimated to hold by the given margin, with an
// error of the given size.
func probability(margin, estimateError time.Duration) float64 {
	return 1 / (1 + math.Exp(-logisticScale*margin.Seconds()/estimateError.Seconds()))
}
