// SPDX-License-Identifier: MIT

package fleet

import "fmt"

// Reason is the kind of a Refusal.
type Reason string

// Reasons for which the fold refuses a record.
const (
	ReasonStale      Reason = "stale"       // based on an older state than that of the tables
	ReasonInvalid    Reason = "invalid"     // the record's content is invalid
	ReasonUnknown    Reason = "unknown"     // it names a row that does not exist
	ReasonState      Reason = "state"       // the row is not in a state that allows the change
	ReasonBudget     Reason = "budget"      // an availability budget would break
	ReasonQuota      Reason = "quota"       // a team's quota would be exceeded
	ReasonOccupied   Reason = "occupied"    // the instance is in a pool or plan, or has no room
	ReasonResidency  Reason = "residency"   // the data centre is not allowed
	ReasonUnproved   Reason = "unproved"    // an acknowledgement is missing
	ReasonDuplicate  Reason = "duplicate"   // the ID is in use with different content
	ReasonUnreadable Reason = "unreadable"  // the record could not be decoded
	ReasonInUse      Reason = "in-use"      // something still depends on what would be removed
	ReasonQuarantine Reason = "quarantined" // the instance fails the jobs that are started on it
)

// Refusal is the error for a record that the fold did not admit. The tables are unchanged.
type Refusal struct {
	Reason Reason
	Detail string
	Remedy string
}

// Error returns the reason, the detail and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s; %s", r.Reason, r.Detail, r.Remedy)
}

func refuse(reason Reason, remedy, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Remedy: remedy, Detail: fmt.Sprintf(format, args...)}
}
