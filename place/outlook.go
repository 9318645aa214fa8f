// SPDX-License-Identifier: MIT

package place

import (
	"math"
	"time"
)

// Estimate is what is known of a job's time and worth, as far as estimates go.
type Estimate struct {
	// From is when the job was handed in, Aim the time from then within which it earns all.
	From time.Time
	Target  time.Duration
	// Total is how long all of it takes where nothing waits, Left how long what is left of it does.
	Total, Remaining time.Duration
	// Density is what the job earns for each core-second that it still needs, if it is on time.
	Density float64
}

// Outlook is what an Estimate comes to at one time.
type Outlook struct {
	// Slack is what is left before the job can't be on time any more.
	Slack time.Duration
	// Expected is what the job is expected to earn for each core-second that it still needs, if it goes on now.
	Expected float64
}

// What a job is expected to earn. The figures were chosen by loads like that of TestInOverloadSomeAreInTimeRatherThanAllLate, of short
// and of bulk jobs, at 0.7 to 4 times what the instances hold, with and without an outage (24 loads, 16 plays each): they earn
// 0.690 of the worth on the average, a line at no slack 0.647; 0.68 to 0.69 with one of them at another value.
const (
	// lateFactor times its aim is when a late job stops earning; latePart is what it earns until then, by the users' rules.
	lateFactor = 3
	latePart   = 0.07
	// unsurePart of the time that is left, and unsureLeast, are how far estimates of it are off.
	unsurePart  = 0.35
	unsureLeast = 100 * time.Millisecond
	// lenient is how far over its aim a job may seem and be taken for even: what is given up has no second chance.
	lenient = 600 * time.Millisecond
	// patient is the part of its rank that a job with all of its slack before it gives up to those that can't wait.
	patient = 0.5
	// logistic makes the logistic curve nearly that of a normal error of one unit.
	logistic = 1.7
)

// At returns the outlook at the time.
//
// Whether a job will be in time is a chance and no line: an estimate is off by up to three times, and a job that can just be in
// time goes before one that earns the same and can wait.
func (e Estimate) At(now time.Time) Outlook {
	over := e.From.Add(e.Target).Sub(now) - e.Remaining
	lost := over + (lateFactor-1)*e.Target
	unsure := time.Duration(unsurePart*float64(e.Remaining)) + unsureLeast
	inTime := chance(over+lenient, unsure)
	late := (1 - inTime) * chance(lost, unsure)
	calm := 0.0
	if spare := e.Target - e.Total; spare > 0 {
		calm = min(max(over.Seconds()/spare.Seconds(), 0), 1)
	}
	return Outlook{Slack: over, Expected: e.Density * (inTime*(1-patient*calm) + latePart*late)}
}

// chance returns how likely it is that something holds which by an estimate holds by the margin.
func chance(margin, unsure time.Duration) float64 {
	return 1 / (1 + math.Exp(-logistic*margin.Seconds()/unsure.Seconds()))
}
