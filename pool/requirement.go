// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/lead"
)

// Margins of what leading requires over what the leader uses.
const (
	// requirementInterval is the time over which use is averaged.
	requirementInterval = time.Second
	// linkMargin is 2 because answers queue on a link that is half used; starts are then sent again and use still more.
	linkMargin       = 2
	processorMargin  = 1.5
	memoryMargin     = 1.5
	descriptorMargin = 1.25
	// workerEntryBytes approximates the size of a worker's record in the list.
	workerEntryBytes = 300
	// jobBytesDivisor makes a batch change the running average of the size of a job's records by a sixteenth of the difference.
	jobBytesDivisor = 16
)

// requirementMeter measures what leading requires. Its zero value is ready to use.
type requirementMeter struct {
	// measuredAt is when the counters linkBytes and processor were last read; zero before the first time.
	measuredAt time.Time
	linkBytes  int64
	processor  time.Duration
	// jobBytes is the running average of the size of a job's stored records.
	jobBytes float64
}

// storedJobs records the size of a batch's records.
func (m *requirementMeter) storedJobs(jobs, bytes int) {
	if jobs == 0 {
		return
	}
	size := float64(bytes) / float64(jobs)
	if m.jobBytes == 0 {
		m.jobBytes = size
		return
	}
	m.jobBytes += (size - m.jobBytes) / jobBytesDivisor
}

// tableBytes estimates the size of the tables that the next leader reads.
func (c *session) tableBytes() float64 {
	return c.requirement.jobBytes*float64(len(c.jobs)) + workerEntryBytes*float64(len(c.workers))
}

// measureRequirement measures what leading requires and passes it on.
func (c *session) measureRequirement(now time.Time) {
	m := &c.requirement
	elapsed := now.Sub(m.measuredAt)
	if c.Require == nil || elapsed < requirementInterval {
		return
	}
	first := m.measuredAt.IsZero()
	m.measuredAt = now
	linkBytes, processor := m.linkBytes, m.processor
	if c.LinkBytes != nil {
		m.linkBytes = c.LinkBytes()
	}
	if c.CPUTime != nil {
		m.processor = c.CPUTime()
	}
	if first {
		return // there is no interval yet
	}
	required := lead.Capacity{
		Processor:   processorMargin * (m.processor - processor).Seconds() / elapsed.Seconds(),
		Link:        max(linkMargin*float64(m.linkBytes-linkBytes)/elapsed.Seconds(), c.tableBytes()/loadLinkTime.Seconds()),
		Descriptors: descriptorMargin * float64(len(c.workers)),
	}
	if c.MemoryInUse != nil {
		required.Memory = memoryMargin * float64(c.MemoryInUse())
	}
	c.Require(required)
}

// handOverToFitter hands over to a fitter entry at a moment when that costs little.
func (c *session) handOverToFitter(now time.Time) {
	if c.Successor == nil || c.HandOverTo == nil || !c.settled(now) {
		return
	}
	to, ok := c.Successor()
	if !ok {
		return
	}
	c.emit(event.LeadHandedOver, event.Subject{Entry: c.Entry}, "term=%d to=%s own=%q its=%q why=\"the other entry is fitter\"", c.term.Number, to.Entry, c.Capacity, to.Capacity)
	c.handoverAt = now
	c.HandOverTo(c.term.Fence, to)
}

// handoverLimit is for how long a leader that hands over plans no starts. Its term ends once the renewal in progress is over, which takes longer only while the store does
// not answer; the leader goes on then.
const handoverLimit = lead.RenewTimeout

// handingOver reports whether this leader's term is about to end. A run that is planned now would be stored and not ordered. The next leader could not tell that its start was
// never sent: a task that may crash its workers would wait for lateMax.
func (c *session) handingOver(now time.Time) bool {
	return !c.handoverAt.IsZero() && now.Sub(c.handoverAt) < handoverLimit
}

// settled reports whether a handover costs little: this leader is confirmed and has led for a while, its takeover is complete, and
// nothing that it ordered is unstored.
func (c *session) settled(now time.Time) bool {
	if now.Sub(c.startedAt) < minLeadTime || !c.confirmed(now) || c.committing || len(c.unstoredJobs) > 0 {
		return false
	}
	for _, m := range [...]mode{modeStoreSlow, modeUnkeptOrders, modeHearing, modeOrphans} {
		if c.inMode(m) {
			return false
		}
	}
	return true
}
