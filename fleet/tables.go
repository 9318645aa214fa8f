// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"rackstep.dev/org"
)

// Tables is the state that all entries agree on. New returns the state before the first record.
type Tables struct {
	// Offset is the offset of the last record applied, -1 before the first.
	Offset int64
	// Version counts the accepted configurations.
	Version uint64
	// Published is the offset at which the configuration was accepted.
	Published     int64
	Configuration Configuration
	Instances     Table[Instance]
	Entries       Table[Entry]
	Plans         Table[Plan]
	Jobs          Table[Job]
	// RunTimes are the learned ratios of actual to declared run times, by pool.
	RunTimes Table[RunTime]
	// Results are the latest results of operators' and callers' records, oldest first.
	Results []Result
	// Checkpointed is the offset of the newest checkpoint seen in the log.
	Checkpointed int64

	// usageByInstance and teamUsage are the resources that jobs hold, by instance and by team.
	usageByInstance map[string]usage
	teamUsage       org.Ledger
	// endedJobs is the number of jobs that have ended.
	endedJobs int
}

// Result is the stored result of a record that was written on behalf of an operator or a team.
type Result struct {
	ID      string
	Offset  int64
	Version uint64
	Refusal *Refusal
}

// Limits of the history kept in the tables.
const (
	maxResults       = 512
	maxFinishedPlans = 64
	maxFinishedJobs  = 2048
)

// New returns the tables before the first record.
func New() *Tables { return &Tables{Offset: -1, Published: -1, Checkpointed: -1} }

// Apply applies the record at the offset and returns the refusal, or nil if the record was admitted.
//
// A record at an offset that was already applied changes nothing.
func (t *Tables) Apply(offset int64, r Record) *Refusal {
	if offset <= t.Offset {
		return nil
	}
	t.Offset = offset
	if r.By != "" {
		if res := t.Result(r.ID); res != nil {
			return res.Refusal
		}
	}
	refusal := t.dispatch(r)
	if r.By != "" {
		t.addResult(Result{ID: r.ID, Offset: offset, Version: t.Version, Refusal: refusal})
	}
	return refusal
}

func (t *Tables) dispatch(r Record) *Refusal {
	switch {
	case r.Configure != nil:
		return t.configure(*r.Configure)
	case r.Observe != nil:
		return t.observe(*r.Observe)
	case r.Join != nil:
		return t.join(*r.Join)
	case r.Leave != nil:
		return t.leave(*r.Leave)
	case r.Propose != nil:
		return t.propose(r.By, *r.Propose)
	case r.Control != nil:
		return t.control(*r.Control)
	case r.Advance != nil:
		return t.advance(r.Time, *r.Advance)
	case r.Submit != nil:
		return t.submit(*r.Submit)
	case r.Start != nil:
		return t.start(*r.Start)
	case r.Settle != nil:
		return t.settle(*r.Settle)
	case r.Cancel != nil:
		return t.cancel(*r.Cancel)
	case r.Park != nil:
		return t.park(*r.Park)
	case r.Yield != nil:
		return t.yield(*r.Yield)
	case r.Measure != nil:
		return t.measure(*r.Measure)
	case r.Throttle != nil:
		return t.throttle(*r.Throttle)
	case r.Checkpoint != nil:
		t.Checkpointed = max(t.Checkpointed, r.Checkpoint.Offset)
		return nil
	}
	return refuse(ReasonUnreadable, "upgrade this entry to the version that wrote it", "record %s has no body known here", r.ID)
}

// Result returns the stored result of the record with the ID, or nil.
func (t *Tables) Result(id string) *Result {
	for i := range t.Results {
		if t.Results[i].ID == id {
			return &t.Results[i]
		}
	}
	return nil
}

func (t *Tables) addResult(r Result) {
	t.Results = append(t.Results, r)
	if n := len(t.Results) - maxResults; n > 0 {
		t.Results = append([]Result(nil), t.Results[n:]...)
	}
}

// image is the encoded form of the tables: plain rows in the order of their IDs.
type image struct {
	Offset, Published, Checkpointed int64
	Version                         uint64
	Configuration                   Configuration
	Instances                       []Instance
	Entries                         []Entry
	Plans                           []Plan
	Jobs                            []Job
	RunTimes                        []RunTime
	Results                         []Result
}

// Checkpoint returns the compressed encoding of the tables. Equal tables have equal encodings.
func (t *Tables) Checkpoint() ([]byte, error) {
	im := image{
		Offset: t.Offset, Published: t.Published, Checkpointed: t.Checkpointed,
		Version: t.Version, Configuration: t.Configuration,
		Instances: t.Instances.Rows(), Entries: t.Entries.Rows(),
		Plans: t.Plans.Rows(), Jobs: t.Jobs.Rows(), RunTimes: t.RunTimes.Rows(), Results: t.Results,
	}
	b, err := encoder.Marshal(im)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, fmt.Errorf("compress checkpoint: %w", err)
	}
	defer w.Close()
	return w.EncodeAll(b, nil), nil
}

// maxCheckpointBytes bounds the memory for decompressing a checkpoint.
const maxCheckpointBytes = 256 << 20

// LoadCheckpoint decodes the output of Checkpoint.
func LoadCheckpoint(b []byte) (*Tables, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxCheckpointBytes))
	if err != nil {
		return nil, fmt.Errorf("decompress checkpoint: %w", err)
	}
	defer r.Close()
	raw, err := r.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress checkpoint: %w", err)
	}
	var im image
	if err := decoder.Unmarshal(raw, &im); err != nil {
		return nil, fmt.Errorf("decode checkpoint: %w", err)
	}
	t := &Tables{
		Offset: im.Offset, Published: im.Published, Checkpointed: im.Checkpointed,
		Version: im.Version, Configuration: im.Configuration, Results: im.Results,
	}
	loadRows(&t.Instances, im.Instances, func(r *Instance) string { return r.ID })
	loadRows(&t.Entries, im.Entries, func(r *Entry) string { return r.ID })
	loadRows(&t.Plans, im.Plans, func(r *Plan) string { return r.ID })
	loadRows(&t.Jobs, im.Jobs, func(r *Job) string { return r.ID })
	loadRows(&t.RunTimes, im.RunTimes, func(r *RunTime) string { return r.Pool })
	for _, j := range t.Jobs.All {
		t.charge(j, 1)
		if j.State.Ended() {
			t.endedJobs++
		}
	}
	return t, nil
}

func loadRows[R any](t *Table[R], rows []R, id func(*R) string) {
	for i := range rows {
		t.Put(id(&rows[i]), rows[i])
	}
}
