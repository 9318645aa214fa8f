// SPDX-License-Identifier: MIT

package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/keep"
	"rackstep.dev/upkeep"
)

// Sizes of the largest fleet, twice, and what the users' store takes.
const (
	twiceWorkers   = 12000
	twiceQueues    = 2 * 350
	recordBytes    = 262144
	callBytes      = 2097152
	widestStep     = 64
	longestSaved   = 40
	waveShare      = 0.4
	addressExample = "10.128.100.199:65535"
)

// fullBench is a leader of twice the largest fleet whose store takes what the users' one takes; it notes the largest record of each kind.
type fullBench struct {
	*bench
	largest map[string]int
	calls   int
	batch   int
	state   map[string][]byte
}

func newFullBench(c *quicktest.C) *fullBench {
	b := newBench(c, nil)
	x := &fullBench{bench: b, largest: make(map[string]int), state: make(map[string][]byte)}
	b.MaxRecordBytes, b.writer.MaxRecordBytes = recordBytes, recordBytes
	b.PutWave = func(context.Context, int64, bool) error { return nil }
	b.State.Append = func(_ context.Context, batch feed.Batch) (int64, error) {
		x.calls++
		size := 0
		for _, r := range batch.Records {
			n := len(r.Key) + len(r.Value) + 1
			size += n + 4
			kind, _, _ := strings.Cut(r.Key, "/")
			x.largest[kind] = max(x.largest[kind], n)
			x.state[r.Key] = r.Value
			if n > recordBytes {
				return 0, &feed.RefusedError{Message: "status 400"}
			}
		}
		x.batch = max(x.batch, size)
		if size > callBytes {
			return 0, &feed.RefusedError{Message: "status 400"}
		}
		return 1, nil
	}
	return x
}

// keepsAll lets the store take all that has changed.
func (x *fullBench) keepsAll() {
	for range 200 {
		x.commit()
		synctest.Wait()
		messages := x.inbox.take()
		if len(messages) == 0 && !x.committing {
			return
		}
		for _, m := range messages {
			m.apply(x.session)
		}
	}
	x.c.Fatal("it never ends")
}

// fill puts in the tables what twice the largest fleet has of everything that is kept.
func (x *fullBench) fill() {
	for i := range twiceWorkers {
		id := fmt.Sprintf("i-%010d", i)
		x.machines[x.listWorker(id, []byte(addressExample)).Machine] = Machine{Name: "m-" + id, Pool: "p", ID: id}
	}
	for i := range twiceQueues {
		q := fmt.Sprintf("r-%07d", i)
		x.learned(q).runs = 1
		x.pool(fmt.Sprintf("pool-%04d", i)).ran = 1.5
		x.turns.Observe(fmt.Sprintf("pool-%04d", i), upkeep.Load{Need: 1, Used: 1, Have: 1}, x.now())
	}
	j := job.New(&job.Spec{ID: "00000000000000a1", Queue: "q", Pool: "p", Steps: []job.Step{{Count: widestStep, Need: job.Need{MilliCPU: 1}}}}, x.now())
	x.jobs[j.Spec.ID] = j
	i := 0
	for _, w := range x.workers {
		if i == widestStep {
			break
		}
		t := &j.Tasks[i]
		t.Saved = strings.Repeat("0", longestSaved)
		x.start(w, t, &run{number: int64(i + 1)}, x.now())
		x.loseRun(t, w)
		i++
	}
	wave := x.wave(1)
	wave.since = x.now()
	for name := range x.machines {
		if len(wave.begun) >= twiceWorkers*waveShare {
			break
		}
		wave.Machines = append(wave.Machines, name)
		wave.begin(name)
	}
}

// loseRun has the job know of a run that was lost with its worker's life.
func (x *fullBench) loseRun(t *job.Task, w *worker) {
	t.Job.RecordLost(t, job.LostRun{Run: t.Run, Life: w.Life, Suspects: 3})
	t.Job.Version++
	x.dirty.Add(t.Job.Spec.ID, t.Job)
}

// TestEveryKindOfRecordFitsAtTwiceTheLargestFleet fills each kind of record that a leader keeps and holds it against what the store takes; the table stands
// in docs/CAPACITY.md.
func TestEveryKindOfRecordFitsAtTwiceTheLargestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFullBench(quicktest.New(t))
		x.fill()
		x.keepsAll()
		for kind, n := range x.largest {
			t.Logf("%-10s %7d bytes at the most, %.1f%% of a record", kind, n, 100*float64(n)/recordBytes)
			x.c.Check(n <= recordBytes, quicktest.IsTrue, quicktest.Commentf("%s: %d bytes", kind, n))
		}
		t.Logf("%d calls, the largest of %d bytes", x.calls, x.batch)
		x.c.Check(x.aside, quicktest.HasLen, 0)
		for _, kind := range []string{"s", "l", "w", "wave", "lessons", "instances"} {
			x.c.Check(x.largest[kind] > 0, quicktest.IsTrue, quicktest.Commentf("no record of kind %s was kept", kind))
		}
		x.c.Check(x.workersKept, quicktest.HasLen, twiceWorkers)
	})
}

// TestALifeIsKeptByItsOwnRecord has lives come and go: what the next leader reads is those that may have been given work, and a change writes one row.
func TestALifeIsKeptByItsOwnRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFullBench(quicktest.New(t))
		for _, id := range []string{"w1", "w2", "w3"} {
			x.listWorker(id, []byte{1})
		}
		x.c.Assert(x.workersKept, quicktest.HasLen, 0)
		x.keepsAll()
		x.c.Assert(x.workersKept, quicktest.HasLen, 3)
		x.leaveOut(x.workers["w2"], "it is gone")
		before := x.calls
		x.keepsAll()
		x.c.Assert(x.calls, quicktest.Equals, before+1)
		x.c.Assert(x.state[lifeKey+"w2"], quicktest.HasLen, 0)
		var page feed.KeyedPage
		for key, value := range x.state {
			if len(value) > 0 {
				page.Records = append(page.Records, feed.KeyedRecord{Key: key, Value: value})
			}
		}
		next := newBench(x.c, nil)
		next.workersKept = make(map[string]bool)
		next.take(page, []feed.KeyedPage{{}}, feed.KeyedPage{})
		x.c.Assert(next.workers, quicktest.HasLen, 2)
		x.c.Assert(next.unheard, quicktest.HasLen, 2)
		x.c.Assert(next.livesDirty.Empty(), quicktest.IsTrue)
	})
}

// TestTheOneRecordOfEarlierVersionsIsTakenApart has a leader take over from a version that kept all lives in one record.
func TestTheOneRecordOfEarlierVersionsIsTakenApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFullBench(quicktest.New(t))
		x.workersKept = make(map[string]bool)
		x.take(feed.KeyedPage{Records: []feed.KeyedRecord{record(x.c, workersKey, []keptWorker{{Life: "w1", Machine: "m-w1", Pool: "p"}, {Life: "w2", Machine: "m-w2", Pool: "p"}})}}, []feed.KeyedPage{{}}, feed.KeyedPage{})
		x.keepsAll()
		value, dropped := x.state[workersKey]
		x.c.Assert(dropped && len(value) == 0, quicktest.IsTrue)
		x.c.Assert(x.state[lifeKey+"w1"], quicktest.Not(quicktest.HasLen), 0)
		x.c.Assert(x.state[lifeKey+"w2"], quicktest.Not(quicktest.HasLen), 0)
	})
}

// TestARecordThatIsRefusedCostsItsJobAlone has the store refuse one job's record for its form: the job starts nothing and its worker keeps its end, all
// others go on, and the leader says in which mode it is.
func TestARecordThatIsRefusedCostsItsJobAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2")
		kept := make(map[string][]byte)
		refuses := true
		b.State.Append = func(_ context.Context, batch feed.Batch) (int64, error) {
			for _, r := range batch.Records {
				if refuses && r.Key == stateKey+"00000000000000a1" && len(r.Value) > 0 {
					return 0, &feed.RefusedError{Message: "status 400"}
				}
			}
			for _, r := range batch.Records {
				kept[r.Key] = bytes.Clone(r.Value)
			}
			return 1, nil
		}
		takes := func() {
			for range 20 {
				b.commit()
				synctest.Wait()
				for _, m := range b.inbox.take() {
					m.apply(b.session)
				}
			}
		}
		for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
			s := &job.Spec{ID: id, Queue: "q", Pool: "p", Steps: []job.Step{{Count: 1, Need: job.Need{MilliCPU: 1000}}}}
			b.openJob(b.readIntake(0, record(c, job.Qualify("", id).SubmissionKey(), s), b.now()), b.now())
		}
		b.reports("w1", 10, nil)
		b.reports("w2", 10, nil)
		c.Assert(b.ordered(), quicktest.Equals, 2)
		takes()
		c.Assert(kept[stateKey+"00000000000000a2"], quicktest.Not(quicktest.HasLen), 0)
		c.Assert(b.jobs["00000000000000a2"].Tasks[0].Phase, quicktest.Equals, job.Starting)
		c.Assert(b.task(0).Phase, quicktest.Equals, job.Waiting)
		c.Assert(b.is(modeAside), quicktest.IsTrue)
		c.Assert(b.ordered(), quicktest.Equals, 0, quicktest.Commentf("a job that can't be kept is not started"))
		told := 0
		for _, e := range b.Events.Since(0) {
			if e.Number == event.RecordRefused {
				told++
			}
		}
		c.Assert(told, quicktest.Equals, 1)

		refuses = false
		b.changed(b.jobs["00000000000000a1"]) // what it holds has become smaller
		takes()
		b.watchModes(time.Now())
		c.Assert(b.is(modeAside), quicktest.IsFalse)
		c.Assert(b.ordered(), quicktest.Equals, 1)
	})
}

// TestAStoreThatIsAwayIsNotARefusal has the same batch tried until the store is back.
func TestAStoreThatIsAwayIsNotARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1")
		var away atomic.Bool
		away.Store(true)
		b.State.Append = func(context.Context, feed.Batch) (int64, error) {
			if away.Load() {
				return 0, errors.Join(feed.ErrUnavailable, errors.New("status 503"))
			}
			return 1, nil
		}
		b.lifeChanged("w1")
		b.commit()
		time.Sleep(3 * time.Second)
		c.Assert(b.committing, quicktest.IsTrue)
		away.Store(false)
		time.Sleep(time.Second)
		for _, m := range b.inbox.take() {
			m.apply(b.session)
		}
		c.Assert(b.committing, quicktest.IsFalse)
		c.Assert(b.aside, quicktest.HasLen, 0)
	})
}

// TestTheModeOfRecordsAsideEndsWithTheirJobs has the job whose record is aside be forgotten.
func TestTheModeOfRecordsAsideEndsWithTheirJobs(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil, "w1")
	b.setAside(&commitEnded{aside: []keep.RejectedRecord{{Key: lifeKey + "w1", Bytes: 1 << 20}}})
	c.Assert(b.is(modeAside), quicktest.IsTrue)
	b.leaveOut(b.workers["w1"], "it is gone")
	b.watchModes(time.Now())
	c.Assert(b.is(modeAside), quicktest.IsFalse)
}
