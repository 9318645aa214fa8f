// SPDX-License-Identifier: MIT

package lead

import "time"

// Record is the leader's record in the topic.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the leader's name, Address its address for peers.
	Entry, Address string
	// Boot distinguishes runs of the entry's process.
	Boot string
	Term int64
	// Fence is the term's fencing token.
	Fence int64
	// Released is set when the leader has given up the term.
	Released bool
	// Unstored is set when the leader may have sent orders that it could not store.
	Unstored bool
	// PredecessorsActive is set when an earlier leader may still send orders, PredecessorsUnstored when an earlier leader may
	// have sent orders that it could not store.
	PredecessorsActive, PredecessorsUnstored bool
	// Weight is the largest weight of any leader so far.
	Weight float64
}

// Term is a term that this entry has won.
type Term struct {
	Number, Fence int64
	// PredecessorsUnstored is set when an earlier leader may have sent orders that are not stored.
	// CleanHandover is set when there was no earlier leader, or the last one released its term and no leader before it was
	// active any more.
	// Exclusive is set when no earlier leader can be active any more: the handover was clean, or the last leader was an
	// earlier boot of this entry and had published that its own predecessors had stopped.
	PredecessorsUnstored, CleanHandover, Exclusive bool
	// SeveralUnsettled is set when leaders before the previous one may also be active, or may have sent orders that are not stored.
	SeveralUnsettled bool
	// PredecessorRenewed is when this entry read the newest renewal of the previous leader, or the latest time at which that
	// renewal can have arrived; the zero time when there was none.
	PredecessorRenewed time.Time
}

// NextToken returns the fencing token after one of this term, and false if that token would belong to the next term.
func (t Term) NextToken(token int64) (int64, bool) {
	return token + 1, (token+1)>>fenceBits == t.Number
}
