// SPDX-License-Identifier: MIT

package lead

import "time"

// Record is what the topic says of the leader.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Entry and Address name the leader and its address for peers.
	Entry, Address string
	// Boot tells two lives of the entry apart.
	Boot string
	Term int64
	// Fence is the term's fencing token.
	Fence int64
	// Released says that the leader has given up the lead.
	Released bool
	// Unstored says that the leader may have ordered what it could not keep.
	Unstored bool
	// PredecessorsActive says that a leader before this one may still give orders; Coarse that one may have ordered what it could not keep.
	PredecessorsActive, PredecessorsUnstored bool
	// Weight is the largest of the leaders' so far.
	Weight float64
}

// Term is a lead that was taken.
type Term struct {
	Number, Fence int64
	// PredecessorsUnstored says that a leader before may have ordered what is not kept; Clean that the last one gave the lead up itself;
	// Exclusive that all have surely stopped: the last one gave the lead up, or was an earlier life of this very process, and
	// had told that those before it had stopped.
	PredecessorsUnstored, CleanHandover, Exclusive bool
	// PredecessorRenewed is when this entry read the newest renewal of the leader before; the zero time when there was none.
	PredecessorRenewed time.Time
}

// NextToken returns the next fencing token above one of the term's, and false if that would be another term's.
func (t Term) NextToken(token int64) (int64, bool) { return token + 1, (token+1)>>fenceBits == t.Number }
