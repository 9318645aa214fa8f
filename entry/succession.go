// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"errors"
	runtimemetrics "runtime/metrics"
	"strconv"
	"syscall"
	"time"

	"rackstep.dev/lead"
	"rackstep.dev/peer/peerpb"
	"rackstep.dev/platform"
)

// bytesPerMegabyte converts the settings' megabytes to bytes.
const bytesPerMegabyte = 1 << 20

// processorShare returns the processor time that the settings give the entry, in cores.
func processorShare(s *platform.Settings) float64 { return s.Limits.Share * max(s.Limits.Cores, 1) }

// leadCapacity returns what the settings give the entry for leading.
func leadCapacity(s *platform.Settings) lead.Capacity {
	return lead.Capacity{
		Processor: processorShare(s), Link: s.Limits.LinkMbps * bytesPerMegabit,
		Descriptors: float64(maxWorkerConnections(s)), Memory: float64(s.Limits.MemoryMB) * bytesPerMegabyte,
	}
}

// processCPUTime returns the processor time that this process has used, or 0 when the system does not tell.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processMemory returns the memory that the Go runtime has mapped and not returned to the system.
func processMemory() int64 {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	runtimemetrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// serveTerm serves a term and counts takeovers by fit and by unfit entries.
func (n *Node) serveTerm(ctx context.Context, t lead.Term) {
	if n.metrics.scope != nil {
		fit := strconv.FormatBool(n.elector.Fitness() >= 1)
		n.metrics.scope.Tagged(map[string]string{"fit": fit}).Counter("lead_takeovers").Inc(1)
	}
	n.scheduler.Serve(ctx, t)
}

// handOverTo gives up the term in favour of a fitter entry.
func (n *Node) handOverTo(fence int64, to lead.Candidate) {
	if n.metrics.scope != nil {
		n.metrics.scope.Counter("lead_handovers").Inc(1)
	}
	n.elector.HandOverTo(fence, to)
}

// reportToLeader tells a leader that is less fit that this entry is well, again and again until the context ends.
func (n *Node) reportToLeader(ctx context.Context) error {
	ticker := time.NewTicker(lead.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if n.metrics.scope != nil {
			n.metrics.scope.Gauge("lead_fitness").Update(n.elector.Fitness())
		}
		if n.elector.ShouldReport() {
			n.sendLeadReport(ctx)
		}
	}
}

// sendLeadReport sends one report. A lost one is not repeated, since the next follows soon. If the leader does not answer, the
// leader's record is read at once.
func (n *Node) sendLeadReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lead.ReportInterval)
	defer cancel()
	own, leader := n.elector.Capacity, n.elector.Latest().Address
	open := &peerpb.Open{Kind: &peerpb.Open_LeadReport{LeadReport: &peerpb.LeadReport{
		Entry: n.elector.Entry, Boot: n.elector.Boot, Processor: own.Processor, Link: own.Link, Descriptors: own.Descriptors, Memory: own.Memory,
	}}}
	if err := n.callPeer(ctx, leader, open, new(peerpb.LeadReportAnswer)); errors.Is(err, errNoReply) {
		n.elector.ReadNow()
	}
}

// handleLeadReport records that another entry is well.
func (n *Node) handleLeadReport(r *peerpb.LeadReport) *peerpb.LeadReportAnswer {
	n.elector.Report(lead.Candidate{Entry: r.Entry, Boot: r.Boot, Capacity: lead.Capacity{
		Processor: r.Processor, Link: r.Link, Descriptors: r.Descriptors, Memory: r.Memory,
	}})
	return new(peerpb.LeadReportAnswer)
}
