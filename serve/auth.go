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

// authenticate returns the team whose token the request carries, or nil when the token is missing or unknown.
func (v *View) authenticate(r *http.Request) *org.Organisation {
	return v.Organisations.ByKey(org.KeyOf(r.Header.Get("Authorization")))
}
