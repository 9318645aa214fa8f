// SPDX-License-Identifier: MIT

package limit

// Cause is why a connection was closed or a request refused.
type Cause int

// Causes, in the order in which they are reported.
const (
	// ConnectionDisplaced is a connection that was closed because a newer one needed its place.
	ConnectionDisplaced Cause = iota
	// ConnectionRefused is a new connection that was closed because all others were being served.
	ConnectionRefused
	// HeadersTooMany is a request with too many lines of headers.
	HeadersTooMany
	// BodyDisplaced is a body that gave way to others because it had made no progress for longest.
	BodyDisplaced
	// BodyStalled is a body that made no progress for too long, or too little.
	BodyStalled
	// BodyRefused is a body for which there was no room.
	BodyRefused
	// AnswerStalled is an answer that its client did not read.
	AnswerStalled
	causes
)

// String returns the cause as it is written in metrics and logs.
func (c Cause) String() string {
	return [...]string{"connection-displaced", "connection-refused", "headers-too-many", "body-displaced", "body-stalled", "body-refused", "answer-stalled"}[c]
}
