// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"

	"rackstep.dev/admission"
	"rackstep.dev/event"
	"rackstep.dev/job"
	"rackstep.dev/lead"
)

// readExtra reads a record that accompanies a leader's renewal. Keys that this version does not know are skipped.
func (n *Node) readExtra(key string, value []byte, _ lead.Record) {
	if key != admission.Key {
		return
	}
	notice := new(admission.Notice)
	if err := job.Decode(value, notice); err != nil {
		n.overload.Clear()
		n.Events.Emit(event.RecordRefused, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("key=%s: %v", key, err))
		return
	}
	n.overload.Post(notice)
}

// estimateWait returns the decision on a job by the newest notice of the current leader.
func (n *Node) estimateWait(s *job.Spec, q job.Queue) admission.Decision {
	notice, age := n.overload.Current(n.elector.Latest().Fence)
	return notice.Queue(s.Queue).Decide(s, q, age)
}
