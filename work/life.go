// SPDX-License-Identifier: MIT

package work

import (
	"strconv"
	"strings"
)

// Birth distinguishes the lives of workers that share an ID; 0 means that the platform does not report it.
//
// It is derived from a wall clock, which can jump, so births are only compared for equality: a larger number is not
// necessarily a later life.
type Birth int64

// Life identifies one incarnation of a worker by the worker's ID on the platform and its birth. A worker that
// restarts has a new Life under the same ID or another one.
type Life struct {
	ID    string
	Birth Birth
}

// String returns the name of the life that is used in tables, stored records and events. Without a birth it is the
// ID alone.
func (l Life) String() string {
	if l.Birth == 0 && !strings.Contains(l.ID, birthSeparator) {
		return l.ID
	}
	return l.ID + birthSeparator + strconv.FormatInt(int64(l.Birth), 10)
}

// birthSeparator separates the ID from the birth in the name of a life.
const birthSeparator = "@"

// ParseLife parses a name that was returned by String.
func ParseLife(name string) Life {
	at := strings.LastIndex(name, birthSeparator)
	if at < 0 {
		return Life{ID: name}
	}
	birth, err := strconv.ParseInt(name[at+len(birthSeparator):], 10, 64)
	if err != nil {
		return Life{ID: name}
	}
	return Life{ID: name[:at], Birth: Birth(birth)}
}
