// SPDX-License-Identifier: MIT

package pool

// A call that moves or maintains an instance may have been carried out although it got no answer, and its repeat is answered like the first one. So an
// answer tells that the change has been made, but not when, nor which incarnation it has ended: the instance may have come back with another one.

// instanceCall is a call that changes an instance, with its repeats.
type instanceCall struct {
	// target is the incarnation on the instance when the call was first sent, or empty if there was none. sent is set from then on.
	target string
	sent   bool
	// inFlight is set while a call is in progress.
	inFlight bool
	// uncertain is set while the change may have been made, or may still be, by a call that got no answer. unanswered is set if this leader has sent
	// such a call, and fromEarlierLeader if an earlier one may have.
	uncertain, unanswered, fromEarlierLeader bool
}

// begin records that the call is being sent for the incarnation that is on the instance now.
func (k *instanceCall) begin(incarnation string) {
	k.inFlight = true
	if !k.sent {
		k.sent, k.target = true, incarnation
	}
}

// gotNoAnswer records that the latest call may have been carried out.
func (k *instanceCall) gotNoAnswer() { k.uncertain, k.unanswered = true, true }

// refused records that the change has not been made and can't be made now. A call of this leader that got no answer may still be carried out; one of
// an earlier leader can't, since the instance has seen a higher token.
func (k *instanceCall) refused() { k.uncertain, k.fromEarlierLeader = k.unanswered, false }

// madeNow reports whether an answer that the change has been made also tells when: it was made by the call that got the answer.
func (k *instanceCall) madeNow() bool { return !k.uncertain && !k.fromEarlierLeader }

// provesEndOf reports whether an answer that the change has been made proves that the incarnation has ended: it was on the instance before any call
// could make the change.
func (k *instanceCall) provesEndOf(incarnation string) bool {
	return k.sent && k.target == incarnation && !k.fromEarlierLeader
}
