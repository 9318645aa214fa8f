// SPDX-License-Identifier: MIT

package pool

import "time"

// walkRest is how many times as long as a walk over all instances took the next one is put off: a walk takes a tenth of the processor at the most, on
// whatever entry and of whatever fleet.
const walkRest = 9

// walk spaces the looks at all instances; the zero value is due.
type walk struct{ next time.Time }

// due says whether a look is to be made.
func (x *walk) due(now time.Time) bool { return !now.Before(x.next) }

// end notes a look that began and has ended.
func (x *walk) end(began, ended time.Time) { x.next = ended.Add(walkRest * ended.Sub(began)) }
