// SPDX-License-Identifier: MIT

package job

import "strings"

// idLength is the length of a job's ID.
const idLength = 16

// QualifiedID is the name under which a job is stored: its ID, prefixed with the name of the organisation that
// submitted it, if any.
//
// Clients choose the IDs. With the prefix, two organisations that choose the same ID use different keys and can't
// overwrite or cancel each other's jobs.
type QualifiedID string

// Qualify returns the qualified ID of a job. The organisation is empty for jobs of public queues.
func Qualify(organisation, id string) QualifiedID {
	if organisation == "" {
		return QualifiedID(id)
	}
	return QualifiedID(organisation + "/" + id)
}

// QualifiedID returns the qualified ID of the job.
func (s *Spec) QualifiedID() QualifiedID { return Qualify(s.Organisation, s.ID) }

// Parts returns the organisation and the ID. Names of organisations may contain any character, including a slash.
func (o QualifiedID) Parts() (organisation, id string) {
	if i := len(o) - idLength - 1; i > 0 && o[i] == '/' {
		return string(o[:i]), string(o[i+1:])
	}
	return "", string(o)
}

// Key prefixes in the intake store, for submitted jobs and for requests to cancel.
const (
	submissionPrefix = "j/"
	cancelPrefix     = "c/"
)

// SubmissionKey returns the intake key of the submitted job.
func (o QualifiedID) SubmissionKey() string { return submissionPrefix + string(o) }

// CancelKey returns the intake key of the request to cancel the job.
func (o QualifiedID) CancelKey() string { return cancelPrefix + string(o) }

// ParseSubmissionKey returns the job whose submission is stored under the key, and false for any other key.
func ParseSubmissionKey(key string) (QualifiedID, bool) { return cutKey(key, submissionPrefix) }

// ParseCancelKey returns the job whose cancellation is requested under the key, and false for any other key.
func ParseCancelKey(key string) (QualifiedID, bool) { return cutKey(key, cancelPrefix) }

func cutKey(key, prefix string) (QualifiedID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return QualifiedID(rest), ok
}

// Query asks for the state of a job, or of a queue if ID is empty.
type Query struct {
	ID, Queue string
	// Organisation is the authenticated caller, or empty if there is none. Open reports that the queue is public.
	Organisation string
	Open         bool
	// Cancel is set if the caller is about to cancel the job.
	Cancel bool
}

// MaySee reports whether the caller may see the job. It may if it submitted the job, if the job belongs to no
// organisation, or if the job's queue is now public.
func (q Query) MaySee(s *Spec) bool {
	return s.Organisation == "" || s.Organisation == q.Organisation || (q.Open && q.Queue == s.Queue)
}

// Answer is the answer to a Query.
type Answer struct {
	// Known reports that the job was accepted. If it is false, Certain reports that no such job was, leaving out the
	// last two seconds unless the query precedes a cancellation.
	Known, Certain bool
	State          State
	// Pending is the number of jobs in the queue that have not begun.
	Pending int
	// Organisation is the owner of the job, or empty if it has none.
	Organisation string
}
