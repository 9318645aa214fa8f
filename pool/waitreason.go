// SPDX-License-Identifier: MIT

package pool

// waitReason is why a task whose turn has come has no run that has begun.
type waitReason uint8

// Reasons, in the order in which they are looked for: a task has the first one that holds.
const (
	// waitNone: the task does not wait.
	waitNone waitReason = iota
	// waitUnlisted: the task is in no list from which it could start. This is a fault of the leader.
	waitUnlisted
	// waitUnstored: a start is planned and its run is not stored yet.
	waitUnstored
	// waitUnsent: the run is stored and its start not sent, because the leader must not order now or too many starts are in flight.
	waitUnsent
	// waitUnanswered: a start was sent, by this leader or an earlier one, and it is not known whether its run has begun. The run may be lost already, so that this decides
	// whether the task is given up.
	waitUnanswered
	// waitParked: workers crashed under the lasting task too often, so it is not started again.
	waitParked
	// waitAside: a record of the job is rejected by the store or can't be decoded.
	waitAside
	// waitUnproved: neither the store nor the workers prove that this entry leads, so it starts nothing.
	waitUnproved
	// waitUnconfirmed: the job was read while the store did not confirm the lead.
	waitUnconfirmed
	// waitGangMembers: members of an earlier start of the gang have not ended yet.
	waitGangMembers
	// waitEarlier: workers have to tell first what an earlier leader started on them.
	waitEarlier
	// waitBackoff: the pause after a failure or a refusal is not over.
	waitBackoff
	// waitLateStart: an unanswered start of an earlier run may still be carried out.
	waitLateStart
	// waitTicket: the advice service has given no usable ticket.
	waitTicket
	// waitConfinedUnusable and waitConfinedFull: the task may start on one worker only, which gets no starts or has no capacity for it.
	waitConfinedUnusable
	waitConfinedFull
	// waitCap: the cap of its organisation.
	waitCap
	// waitGangFit: the workers have no capacity for all members of the gang at once.
	waitGangFit
	// waitCapacity: no worker has capacity for it.
	waitCapacity
	// waitUnusable: there is capacity only on workers that get no starts now, such as silent ones.
	waitUnusable
	// waitPassPause: the pause after the last placement pass is not over.
	waitPassPause
	// waitTrial: the task may crash its worker, and waits for a worker of its own.
	waitTrial
	// waitFencing: a lasting task waits until earlier leaders' calls to the machine interface are fenced.
	waitFencing
	// waitNoPass: the last pass left it, and nothing has asked for another one.
	waitNoPass
	// waitNotPlaced: passes go on and leave it although a worker has capacity, which is reserved or limited per worker.
	waitNotPlaced
	waitReasonCount
)

// String returns the name of the reason in logs and metrics.
func (r waitReason) String() string {
	return [waitReasonCount]string{
		"none", "in-no-list", "not-stored", "not-sent", "unanswered", "parked", "record-aside", "lead-not-proved", "read-unconfirmed", "gang-members-left", "earlier-leader",
		"back-off", "late-start", "no-ticket", "only-worker-unusable", "only-worker-full", "cap", "gang-does-not-fit", "no-capacity", "workers-unusable", "pass-pause", "trial",
		"fencing", "no-pass", "not-placed",
	}[r]
}
