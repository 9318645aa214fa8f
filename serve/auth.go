// SPDX-License-Identifier: MIT

package serve

import (
	"crypto/subtle"
	"net/http"

	"rackstep.dev/org"
)

// EqualTokenHashes compares two token hashes in constant time.
func EqualTokenHashes(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// team returns the caller's team, or nil when its token is not known.
func (v *View) team(r *http.Request) *org.Organisation {
	return v.Organisations.ByKey(org.KeyOf(r.Header.Get("Authorization")))
}
