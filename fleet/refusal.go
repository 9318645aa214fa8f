// SPDX-License-Identifier: MIT

package fleet

import "fmt"

// Reason is the kind of a Refusal.
type Reason string

// Reasons for which the fold refuses a record.
const (
	ReasonStale      Reason = "stale"       // made from an older state than the tables hold
	ReasonInvalid    Reason = "invalid"     // the record's own content is faulty
	ReasonUnknown    Reason = "unknown"     // it names a row that is not there
	ReasonState      Reason = "state"       // the row is not in a state that allows the change
	ReasonBudget     Reason = "budget"      // an availability budget would break
	ReasonQuota      Reason = "quota"       // a team's quota would be exceeded
	ReasonOccupied   Reason = "occupied"    // the instance is in a pool or plan, or has no room
	ReasonResidency  Reason = "residency"   // the data centre is not allowed
	ReasonUnproved   Reason = "unproved"    // an acknowledgement is missing
	ReasonDuplicate  Reason = "duplicate"   // the ID is taken by a different content
	ReasonUnreadable Reason = "unreadable"  // the record could not be decoded
	ReasonInUse      Reason = "in-use"      // something still depends on what would go
	ReasonQuarantine Reason = "quarantined" // the instance fails what it starts
)

// Refusal is the error of a record that the fold did not admit; the tables are as before.
type Refusal struct {
	Reason Reason
	Detail string
	Remedy string
}

// Error returns the detail and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s; %s", r.Reason, r.Detail, r.Remedy)
}

func refuse(reason Reason, remedy, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Remedy: remedy, Detail: fmt.Sprintf(format, args...)}
}
