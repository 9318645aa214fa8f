// SPDX-License-Identifier: MIT

package org

import (
	"strings"
	"time"
)

// Verdict is what becomes of a call by the key that it shows.
type Verdict uint8

// Verdicts of a key.
const (
	// Refused keys are surely unknown: the call has not run, and the same call will not run either.
	Refused Verdict = iota
	// Admitted keys are known.
	Admitted
	// CantTell is for an entry that has not seen the configuration for too long to say either; the client is to come back.
	CantTell
)

// StalenessLimits is for how long an entry that can't read the configuration goes by the version that it has.
type StalenessLimits struct {
	// Unknown is how old its newest look may be for a key, or a queue, that is not in the version to be surely unknown: what was published
	// since is still to come into force. It is the time in which a configuration must be in force; always when 0.
	Unknown time.Duration
	// Known is how old it may be for a key of the version to count: it may have been withdrawn meanwhile. An entry that is cut off
	// serves on for this long, and not for ever; always when 0.
	Known time.Duration
}

// Check returns the verdict of a key that is in the version or not, given how old the newest look at the configuration is.
func (p StalenessLimits) Check(known bool, age time.Duration) Verdict {
	switch {
	case known && (p.Known == 0 || age <= p.Known):
		return Admitted
	case !known && (p.Unknown == 0 || age <= p.Unknown):
		return Refused
	}
	return CantTell
}

// bearer is the scheme under which a key is shown, of which case does not matter.
const bearer = "bearer "

// KeyOf returns the key in the value of an Authorization header, or an empty string.
func KeyOf(authorization string) string {
	if len(authorization) < len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearer):])
}
