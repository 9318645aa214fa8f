// SPDX-License-Identifier: MIT

package work

import (
	"strconv"
	"strings"
)

// BootID distinguishes the incarnations of workers that share an ID; 0 means that the platform does not report it.
//
// It is derived from a wall clock, which can jump, so boot IDs are only compared for equality: a larger number is not
// necessarily a later incarnation.
type BootID int64

// Incarnation identifies one incarnation of a worker by the worker's ID on the platform and its boot ID. A worker that
// restarts has a new Incarnation under the same ID or another one.
type Incarnation struct {
	ID     string
	BootID BootID
}

// String returns the name of the incarnation that is used in tables, stored records and events. Without a boot ID it is the
// ID alone.
func (l Incarnation) String() string {
	if l.BootID == 0 && !strings.Contains(l.ID, bootIDSeparator) {
		return l.ID
	}
	return l.ID + bootIDSeparator + strconv.FormatInt(int64(l.BootID), 10)
}

// bootIDSeparator separates the ID from the boot ID in the name of an incarnation.
const bootIDSeparator = "@"

// ParseIncarnation parses a name that was returned by String.
func ParseIncarnation(name string) Incarnation {
	at := strings.LastIndex(name, bootIDSeparator)
	if at < 0 {
		return Incarnation{ID: name}
	}
	bootID, err := strconv.ParseInt(name[at+len(bootIDSeparator):], 10, 64)
	if err != nil {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: name[:at], BootID: BootID(bootID)}
}
