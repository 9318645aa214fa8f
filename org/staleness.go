// SPDX-License-Identifier: MIT

package org

import (
	"strings"
	"time"
)

// Verdict is the result of checking an API key.
type Verdict uint8

// Verdicts on an API key.
const (
	// Refused means that the key is certainly unknown. The call was not carried out, and a retry would be refused
	// as well.
	Refused Verdict = iota
	// Admitted means that the key is known.
	Admitted
	// CantTell means that the entry's copy of the configuration is too old for either answer. The client should
	// retry later.
	CantTell
)

// StalenessLimits says for how long an entry that can't read the configuration may rely on its last copy of it.
type StalenessLimits struct {
	// Unknown is the maximum age of the last read at which a key, or a queue, that is missing from the copy is
	// rejected as unknown. Beyond that, it may have been published since. The limit is the time within which a
	// published configuration must take effect; 0 means no limit.
	Unknown time.Duration
	// Known is the maximum age at which a key in the copy is accepted. Beyond that, it may have been revoked. It
	// bounds for how long an entry that is cut off from the configuration serves callers; 0 means no limit.
	Known time.Duration
}

// Check returns the verdict on a key, given whether the copy of the configuration contains it and how long ago the
// configuration was last read.
func (p StalenessLimits) Check(known bool, age time.Duration) Verdict {
	switch {
	case known && (p.Known == 0 || age <= p.Known):
		return Admitted
	case !known && (p.Unknown == 0 || age <= p.Unknown):
		return Refused
	}
	return CantTell
}

// bearerPrefix is the authentication scheme with its separator. It is matched without regard to case.
const bearerPrefix = "bearer "

// KeyOf returns the API key in the value of an Authorization header, or an empty string if there is none.
func KeyOf(authorization string) string {
	if len(authorization) < len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearerPrefix):])
}
