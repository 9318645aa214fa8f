// SPDX-License-Identifier: MIT

package work

import (
	"strconv"
	"strings"
)

// Birth tells the lives apart that bear one ID; 0 where nobody tells it.
//
// It is a time of day, and those jump: another birth is another life, and none is the later one for being the larger number.
type Birth int64

// Life is one life of a worker: the ID under which the platform lists it, and its birth.
type Life struct {
	ID    string
	Birth Birth
}

// String returns the name of the life, as tables, kept records and events give it: the ID alone where no birth is told.
func (l Life) String() string {
	if l.Birth == 0 && !strings.Contains(l.ID, birthSign) {
		return l.ID
	}
	return l.ID + birthSign + strconv.FormatInt(int64(l.Birth), 10)
}

// birthSign parts the ID from the birth in a life's name.
const birthSign = "@"

// ParseLife returns the life of a name that String gave.
func ParseLife(name string) Life {
	at := strings.LastIndex(name, birthSign)
	if at < 0 {
		return Life{ID: name}
	}
	birth, err := strconv.ParseInt(name[at+len(birthSign):], 10, 64)
	if err != nil {
		return Life{ID: name}
	}
	return Life{ID: name[:at], Birth: Birth(birth)}
}
