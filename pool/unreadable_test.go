// SPDX-License-Identifier: MIT

package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/job"
	"rackstep.dev/work"
)

// parsePoolNames makes list entries consist of the name of their pool.
func (b *fixture) parsePoolNames() {
	b.ParseWorker = func(incarnation string, value []byte) (work.Worker, error) {
		if value[0] == 0 {
			return work.Worker{}, errors.New("invalid entry")
		}
		return work.Worker{Incarnation: incarnation, Machine: "m-" + incarnation, Pool: string(value), Capacity: job.Need{MilliCPU: 4000, MemoryMB: 4000}}, nil
	}
}

func TestNothingStartsOnAWorkerWhoseEntryCantBeRead(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, []*job.Job{jobWithTasks(2)}, "w1")
	b.parsePoolNames()
	b.report("w1", 100, nil)
	b.applyWorkerRecord("w1", []byte{0})
	c.Assert(b.placeAndCount(), quicktest.Equals, 0)
	c.Assert(b.workers["w1"], quicktest.IsNotNil, quicktest.Commentf("an unreadable entry must not end a life"))
	b.applyWorkerRecord("w1", []byte("p"))
	c.Assert(b.placeAndCount(), quicktest.Equals, 2)
	c.Assert(b.unusable.entries, quicktest.HasLen, 0)
}

func TestAnEntryOfAPoolThatIsAddedLaterIsReadThen(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	b.parsePoolNames()
	catalog := *b.config
	catalog.Pools = map[string]job.Pool{"p": {Name: "p"}}
	catalogChanged{&catalog}.apply(b.session)
	b.applyWorkerRecord("w1", []byte("p"))
	b.applyWorkerRecord("w2", []byte("new"))
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

// TestBadEntriesChangeNothingForGoodOnes compares placement with and without invalid entries between the valid ones.
func TestBadEntriesChangeNothingForGoodOnes(t *testing.T) {
	c := quicktest.New(t)
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		with, without := placedWith(c, r, true), placedWith(c, rand.New(rand.NewPCG(seed, 1)), false)
		c.Assert(with, quicktest.Equals, without, quicktest.Commentf("seed %d", seed))
	}
}

// placedWith lists some valid workers, with invalid entries in between if bad is set, and returns how many tasks of a
// large job are placed.
func placedWith(c *quicktest.C, r *rand.Rand, bad bool) int {
	b := newFixture(c, []*job.Job{jobWithTasks(40)})
	b.parsePoolNames()
	catalog := *b.config
	catalog.Pools = map[string]job.Pool{"p": {Name: "p"}}
	b.config = &catalog
	for i := range 1 + r.IntN(6) {
		incarnation := fmt.Sprint("good", i)
		for n := range r.IntN(3) {
			if bad {
				b.applyWorkerRecord(fmt.Sprint("bad", i, n), [][]byte{{0}, []byte("elsewhere"), {0, 1}}[n])
			}
		}
		b.applyWorkerRecord(incarnation, []byte("p"))
		b.storedIncarnations[incarnation] = true
		b.report(incarnation, 100, nil)
	}
	return b.placeAndCount()
}

func TestForeignEntriesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	b.parsePoolNames()
	for i := range maxUnusable + 10 {
		b.applyWorkerRecord(fmt.Sprint("x", i), []byte{0})
	}
	c.Assert(b.unusable.entries, quicktest.HasLen, maxUnusable)
	b.applyWorkerRecord("x1", nil)
	c.Assert(b.unusable.entries, quicktest.HasLen, maxUnusable-1)
}

// TestForeignEntriesTakeBoundedMemory guards against a process that runs out of memory, or whose log does, because another writer has left large entries among
// those of the workers.
func TestForeignEntriesTakeBoundedMemory(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil)
	b.parsePoolNames()
	catalog := *b.config
	catalog.Pools = map[string]job.Pool{"p": {Name: "p"}}
	b.config = &catalog
	large := strings.Repeat("x", 100<<10)
	for i := range 40 {
		b.applyWorkerRecord(fmt.Sprint("invalid", i), []byte("\x00"+large))
		b.applyWorkerRecord(fmt.Sprint("elsewhere", i), []byte(large))
	}
	held := func() (bytes int) {
		for _, value := range b.unusable.entries {
			bytes += len(value)
		}
		return bytes
	}
	c.Assert(b.unusable.entries, quicktest.HasLen, 80)
	c.Assert(held() <= maxUnusableBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes are held", held()))
	c.Assert(held(), quicktest.Equals, b.unusable.bytes)
	for _, e := range b.Events.Since(0) {
		c.Assert(len(e.Text) < 2*maxUnusableText, quicktest.IsTrue, quicktest.Commentf("an event of %d bytes", len(e.Text)))
	}
	for i := range 40 {
		b.applyWorkerRecord(fmt.Sprint("elsewhere", i), nil)
	}
	c.Assert(b.unusable.bytes, quicktest.Equals, 0)
}
