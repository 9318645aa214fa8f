// SPDX-License-Identifier: MIT

package job

import "strings"

// idLength is the length of a job's ID.
const idLength = 16

// QualifiedID names a job as it is kept: its ID behind the name of the organisation that handed it in, or alone.
//
// IDs are chosen by clients. Two organisations that choose the same one write under keys of their own, so that neither can
// overwrite or cancel what the other has handed in.
type QualifiedID string

// Qualify returns the name under which an organisation's job is kept; nobody's when the organisation is empty.
func Qualify(organisation, id string) QualifiedID {
	if organisation == "" {
		return QualifiedID(id)
	}
	return QualifiedID(organisation + "/" + id)
}

// QualifiedID returns the name under which the job is kept.
func (s *Spec) QualifiedID() QualifiedID { return Qualify(s.Organisation, s.ID) }

// Parts returns the organisation and the ID; names of organisations may hold any sign.
func (o QualifiedID) Parts() (organisation, id string) {
	if i := len(o) - idLength - 1; i > 0 && o[i] == '/' {
		return string(o[:i]), string(o[i+1:])
	}
	return "", string(o)
}

// Keys of the intake: what a client handed in, and its wish to cancel.
const (
	handedInKey = "j/"
	cancelKey   = "c/"
)

// SubmissionKey returns the intake's key of the job.
func (o QualifiedID) SubmissionKey() string { return handedInKey + string(o) }

// CancelKey returns the intake's key of the wish to cancel the job.
func (o QualifiedID) CancelKey() string { return cancelKey + string(o) }

// ParseSubmissionKey returns the job that a key of the intake hands in, and false when it does not.
func ParseSubmissionKey(key string) (QualifiedID, bool) { return cutKey(key, handedInKey) }

// ParseCancelKey returns the job that a key of the intake wants cancelled, and false when it does not.
func ParseCancelKey(key string) (QualifiedID, bool) { return cutKey(key, cancelKey) }

func cutKey(key, prefix string) (QualifiedID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	return QualifiedID(rest), ok
}

// Query asks for a job, or for a queue when ID is empty.
type Query struct {
	ID, Queue string
	// Organisation is who asks, empty for nobody that is known; Open says that the queue answers anybody.
	Organisation string
	Open         bool
}

// MaySee says whether who asks may know of the job: its organisation may, and everybody of one that nobody in particular has handed in, or whose
// queue answers anybody by now.
func (q Query) MaySee(s *Spec) bool {
	return s.Organisation == "" || s.Organisation == q.Organisation || (q.Open && q.Queue == s.Queue)
}

// Answer is what is known of a job or a queue.
type Answer struct {
	// Known says that the job was accepted; otherwise Certain says that it was not.
	Known, Certain bool
	State          State
	// Pending counts the queue's jobs of which nothing has begun.
	Pending int
	// Organisation is whose job it is, empty for nobody's in particular.
	Organisation string
}
