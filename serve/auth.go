// SPDX-License-Identifier: MIT

package serve

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"rackstep.dev/fleet"
)

// Bearer returns the token of the Authorization header, or an empty string.
func Bearer(h http.Header) string {
	token, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// SameHash compares two token hashes in constant time.
func SameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// team returns the caller's team, or nil when its token is not known.
func (v *View) team(r *http.Request) *fleet.Team {
	token := Bearer(r.Header)
	if token == "" {
		return nil
	}
	hash := TokenHash(token)
	team := v.Teams[hash]
	if team == nil || !SameHash(team.TokenHash, hash) {
		return nil
	}
	return team
}
