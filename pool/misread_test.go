// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// readsPools has the bench read entries that hold their pool's name and nothing else.
func (b *bench) readsPools() {
	b.ParseWorker = func(life string, value []byte) (work.Worker, error) {
		if value[0] == 0 {
			return work.Worker{}, errors.New("bytes that can't be read")
		}
		return work.Worker{Life: life, Machine: "m-" + life, Pool: string(value), Capacity: job.Need{MilliCPU: 4000, MemoryMB: 4000}}, nil
	}
}

func TestNothingStartsOnAWorkerWhoseEntryCantBeRead(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, []*job.Job{one(2)}, "w1")
	b.readsPools()
	b.reports("w1", 100, nil)
	b.listWorker("w1", []byte{0})
	c.Assert(b.ordered(), quicktest.Equals, 0)
	c.Assert(b.workers["w1"], quicktest.IsNotNil, quicktest.Commentf("it proves nothing of its life"))
	b.listWorker("w1", []byte("p"))
	c.Assert(b.ordered(), quicktest.Equals, 2)
	c.Assert(b.foreign.entries, quicktest.HasLen, 0)
}

func TestAnEntryOfAPoolThatIsAddedLaterIsReadThen(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil)
	b.readsPools()
	catalog := *b.config
	catalog.Pools = map[string]job.Pool{"p": {Name: "p"}}
	catalogChanged{&catalog}.apply(b.session)
	b.listWorker("w1", []byte("p"))
	b.listWorker("w2", []byte("new"))
	c.Assert(b.workers["w1"], quicktest.IsNotNil)
	c.Assert(b.workers["w2"], quicktest.IsNil)
	wider := catalog
	wider.Pools = map[string]job.Pool{"p": {Name: "p"}, "new": {Name: "new"}}
	b.Calls.Hold = func(ctx context.Context, _ *work.Worker, _ work.Hold) (work.Report, error) {
		return work.Report{}, work.ErrNotSent
	}
	catalogChanged{&wider}.apply(b.session)
	c.Assert(b.workers["w2"], quicktest.IsNotNil)
}

// Whatever bad entries come between the good ones, what is placed on the good ones is the same.
func TestBadEntriesChangeNothingForGoodOnes(t *testing.T) {
	c := quicktest.New(t)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		with, without := placedAmong(c, r, true), placedAmong(c, rand.New(rand.NewPCG(seed, 1)), false)
		c.Assert(with, quicktest.Equals, without, quicktest.Commentf("seed %d", seed))
	}
}

// placedAmong lists some good workers, with bad entries in between or not, and returns how many tasks of a large job are placed.
func placedAmong(c *quicktest.C, r *rand.Rand, bad bool) int {
	b := newBench(c, []*job.Job{one(40)})
	b.readsPools()
	catalog := *b.config
	catalog.Pools = map[string]job.Pool{"p": {Name: "p"}}
	b.config = &catalog
	for i := range 1 + r.IntN(6) {
		life := fmt.Sprint("good", i)
		for n := range r.IntN(3) {
			if bad {
				b.listWorker(fmt.Sprint("bad", i, n), [][]byte{{0}, []byte("elsewhere"), {0, 1}}[n])
			}
		}
		b.listWorker(life, []byte("p"))
		b.workersKept[life] = true
		b.reports(life, 100, nil)
	}
	return b.ordered()
}

func TestForeignEntriesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil)
	b.readsPools()
	for i := range foreignMost + 10 {
		b.listWorker(fmt.Sprint("x", i), []byte{0})
	}
	c.Assert(b.foreign.entries, quicktest.HasLen, foreignMost)
	b.listWorker("x1", nil)
	c.Assert(b.foreign.entries, quicktest.HasLen, foreignMost-1)
}
