// SPDX-License-Identifier: MIT

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
	"rackstep.dev/lead"
	"rackstep.dev/org"
	"rackstep.dev/work"
)

// capped puts organisations in force of which "a" may have that many thousandths of a core.
func (b *bench) capped(milliCPU int) {
	b.c.Helper()
	d, err := org.NewDirectory([]org.Organisation{{Name: "a", Weight: 10, Cap: job.Need{MilliCPU: milliCPU}}, {Name: "b", Weight: 10}})
	b.c.Assert(err, quicktest.IsNil)
	organisationsChanged{d}.apply(b.session)
}

// handIn reads a job of an organisation from the intake.
func (b *bench) handIn(organisation, id string, s job.Step) *job.Job {
	b.c.Helper()
	j := b.readIntake(0, record(b.c, job.Qualify(organisation, id).SubmissionKey(), &job.Spec{ID: id, Queue: "q", Pool: "p", Steps: []job.Step{s}, Taken: job.UnixMilli(time.Now().UnixMilli())}), time.Now())
	b.c.Assert(j, quicktest.IsNotNil)
	b.judgeRate(j)
	b.openJob(j, time.Now())
	return j
}

func core(count int) job.Step { return job.Step{Count: count, Need: job.Need{MilliCPU: 1000}} }

// earlier reads a job of an organisation that an earlier leader knew too.
func (b *bench) earlier(organisation, id string, s job.Step) {
	b.c.Helper()
	b.handIn(organisation, id, s)
	b.restored[id] = true
}

func idOf(n int) string { return fmt.Sprintf("%016x", n) }

// TestACapCountsWhatIsUnderWay has starts without an answer, runs being stopped and a silent worker: all of them may be running.
func TestACapCountsWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2")
		b.capped(3000)
		b.reports("w1", 10, nil)
		b.reports("w2", 10, nil)
		first := b.handIn("a", idOf(1), core(2))
		c.Assert(b.ordered(), quicktest.Equals, 2)
		b.keeps() // ordered, and not answered
		b.handIn("a", idOf(2), core(3))
		c.Assert(b.ordered(), quicktest.Equals, 1)
		b.stopAll(first, "cancelled")
		b.keeps()
		c.Assert(b.ordered(), quicktest.Equals, 0, quicktest.Commentf("stopped is not ended"))
		c.Assert(b.handIn("b", idOf(3), core(2)).State, quicktest.Equals, job.Queued)
		c.Assert(b.ordered(), quicktest.Equals, 2, quicktest.Commentf("what waits for its cap keeps no room"))
	})
}

// TestTheNextLeaderCountsBeforeItsFirstStart has what an earlier leader has ordered, kept or not, count against the cap.
func TestTheNextLeaderCountsBeforeItsFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := &job.Spec{ID: idOf(1), Queue: "q", Pool: "p", Steps: []job.Step{core(2)}, Organisation: "a"}
		j := job.New(spec, time.Now())
		for i := range j.Tasks {
			j.Tasks[i].Phase, j.Tasks[i].Run, j.Tasks[i].Worker = job.Active, int64(5+i), "w1"
		}
		b := newBench(c, []*job.Job{j}, "w1", "w2")
		held, runs := b.ledger.Held("a")
		c.Assert(held, quicktest.Equals, job.Need{MilliCPU: 2000})
		c.Assert(runs, quicktest.Equals, 2)
		b.capped(3000)
		b.reports("w2", 10, nil) // w1 has not answered yet
		b.handIn("a", idOf(2), core(4))
		c.Assert(b.ordered(), quicktest.Equals, 1)
	})
}

func TestWhatAnEarlierLeaderMayNotHaveKeptCountsAgainstEveryCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.coarse = true
		b.unheard["w1"] = b.workers["w1"]
		b.raised = time.Now()
		b.capped(6000)
		b.reports("w2", 10, nil)
		b.earlier("a", idOf(9), core(20))
		b.handIn("a", idOf(1), core(4))
		c.Assert(b.ordered(), quicktest.Equals, 2, quicktest.Commentf("w1 may run four cores of anybody's"))
		b.reports("w1", 10, nil)
		c.Assert(b.ordered(), quicktest.Equals, 6)
	})
}

// TestWhatDoesNotWaitCanNotRunUnkept has a leader after a cut whose instances hold far more than a cap: of an organisation of which little waits, little
// can run there. Counted as a whole, a cut data centre kept every small organisation from starting anything for three seconds after a takeover.
func TestWhatDoesNotWaitCanNotRunUnkept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2", "w3", "w4")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.coarse, b.raised = true, time.Now()
		for _, life := range []string{"w1", "w2", "w3"} {
			b.unheard[life] = b.workers[life]
		}
		b.capped(5000)
		b.reports("w4", 10, nil)
		b.earlier("a", idOf(9), core(2))
		b.earlier("b", idOf(8), core(20))
		b.handIn("a", idOf(1), core(4))
		c.Assert(b.ordered(), quicktest.Equals, 3)
	})
}

// TestUntilHalfHaveItsTokenALeaderCountsWhatAnotherMayStart has a leader that took its term from one that may go on without the store: found by random
// histories (seed 2516).
func TestUntilHalfHaveItsTokenALeaderCountsWhatAnotherMayStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1", "w2", "w3")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now()}
		for _, life := range []string{"w1", "w2"} {
			b.unheard[life] = b.workers[life]
		}
		b.capped(9000)
		b.reports("w3", 10, nil)
		b.earlier("a", idOf(9), core(20))
		b.handIn("a", idOf(1), core(6))
		c.Assert(b.ordered(), quicktest.Equals, 1, quicktest.Commentf("w1 and w2 may run eight cores of anybody's"))
		b.reports("w2", 10, nil)
		c.Assert(b.raised.IsZero(), quicktest.IsFalse)
		c.Assert(b.ordered(), quicktest.Equals, 8, quicktest.Commentf("all that w2 and w3 have room for"))
	})
}

// TestALifeOutOfTheListCountsAsLargeAsAny has a kept life that has left the list, so that its room is not known: found by random histories (seed 2929),
// where an earlier leader that was cut off went on there beside the next one.
func TestALifeOutOfTheListCountsAsLargeAsAny(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w2")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.take(feed.KeyedPage{Records: []feed.KeyedRecord{record(c, workersKey, []keptWorker{{Life: "w1", Machine: "m-w1", Pool: "p"}})}}, []feed.KeyedPage{{}}, feed.KeyedPage{})
		b.raised = time.Now()
		b.capped(6000)
		b.reports("w2", 10, nil)
		b.earlier("a", idOf(9), core(20))
		b.handIn("a", idOf(1), core(4))
		c.Assert(b.ordered(), quicktest.Equals, 2)
	})
}

func TestACapLoweredBetweenDecisionAndOrderHoldsTheOrderBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1")
		b.capped(4000)
		b.reports("w1", 10, nil)
		b.handIn("a", idOf(1), core(4))
		c.Assert(b.ordered(), quicktest.Equals, 4)
		b.capped(2000)
		b.keeps()
		held, runs := b.ledger.Held("a")
		c.Assert(held, quicktest.Equals, job.Need{MilliCPU: 2000})
		c.Assert(runs, quicktest.Equals, 2)
	})
}

// TestTheLedgerIsARecountOfTheWorkersLists plays random reports, losses and orders against a recount from the tables of workers.
func TestTheLedgerIsARecountOfTheWorkersLists(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(seed, 3))
			b := newBench(c, nil, "w1", "w2", "w3")
			b.capped(5000)
			clock, newest := work.Clock(10), make(map[string]int64)
			for _, life := range []string{"w1", "w2", "w3"} {
				b.reports(life, clock, nil)
			}
			for step := range 60 {
				switch r.IntN(6) {
				case 0:
					b.handIn([]string{"a", "b", ""}[r.IntN(3)], idOf(step), job.Step{Count: 1 + r.IntN(4), Need: job.Need{MilliCPU: 500 * (1 + r.IntN(3)), MemoryMB: r.IntN(100)}})
				case 1:
					b.ordered()
					b.keeps()
				case 2:
					b.capped(1000 * r.IntN(8))
				case 3:
					if len(b.workers) > 1 && r.IntN(5) == 0 {
						for _, w := range b.workers {
							b.lose(w, "test")
							break
						}
					}
				default:
					clock += 100
					for life, w := range b.workers {
						var rows []work.RunStatus
						var ends []work.EndedRun
						for t, x := range w.runs {
							switch {
							case r.IntN(3) == 0:
								newest[life]++
								ends = append(ends, work.EndedRun{Seq: newest[life], Task: t.Name(), Run: x.number, Outcome: []work.Outcome{work.Stopped, work.Failed, work.Succeeded}[r.IntN(3)]})
							case x.sent:
								rows = append(rows, work.RunStatus{Task: t.Name(), Run: x.number})
							}
							if r.IntN(9) == 0 {
								rows = append(rows, work.RunStatus{Task: t.Name(), Run: x.number + 1000})
							}
						}
						b.reports(life, clock, rows, ends...)
					}
				}
				for _, name := range [...]string{"a", "b"} {
					var sum job.Need
					count := 0
					for _, w := range b.workers {
						for t := range w.runs {
							if t.Job.Spec.Organisation == name {
								sum, count = sum.Plus(t.Spec().Need), count+1
							}
						}
						for _, x := range w.besides {
							if x.organisation == name {
								sum, count = sum.Plus(x.step.Need), count+1
							}
						}
					}
					held, runs := b.ledger.Held(name)
					c.Assert(held, quicktest.Equals, sum, quicktest.Commentf("seed %d step %d organisation %s", seed, step, name))
					c.Assert(runs, quicktest.Equals, count)
				}
			}
		})
	}
}

// TestWhatIsPublishedWhileALeaderReadsItsTablesCounts publishes a configuration between the beginning of a session and its lead: found by random
// histories of caps (seeds 27 and 31), where leaders went by caps of before for as long as they led.
func TestWhatIsPublishedWhileALeaderReadsItsTablesCounts(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil, "w1")
	newer := &job.Catalog{Version: 9}
	d, err := org.NewDirectory([]org.Organisation{{Name: "a", Weight: 1}})
	c.Assert(err, quicktest.IsNil)
	b.Scheduler.SetOrganisations(d) // nobody leads yet
	b.Scheduler.SetCatalog(newer)
	b.Scheduler.lead(b.session)
	for _, m := range b.inbox.take() {
		m.apply(b.session)
	}
	c.Assert(b.config, quicktest.Equals, newer)
	c.Assert(b.ledger.Directory(), quicktest.Equals, d)
}

// TestWhatNobodyOwesAndWhatACapHoldsAskForNoInstance compares what a pool is taken to need with such work and without.
func TestWhatNobodyOwesAndWhatACapHoldsAskForNoInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1")
		b.capped(1000)
		b.reports("w1", 10, nil)
		b.handIn("b", idOf(1), core(6))
		b.ordered()
		b.countLoads()
		before := b.pool("p").load.waitingWork
		b.handIn("a", idOf(2), core(20))
		b.handIn("b", idOf(3), core(20)).OverRate = true
		b.openJob(b.jobs[idOf(3)], time.Now())
		b.ordered()
		b.countLoads()
		c.Assert(b.pool("p").load.waitingWork, quicktest.Equals, before)
	})
}

func TestACapIsToldOnceWhenItBeginsAndWhenItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newBench(c, nil, "w1")
		b.capped(2000)
		b.reports("w1", 10, nil)
		b.handIn("a", idOf(1), core(3))
		told := func() (lines []string) {
			for _, e := range b.Events.Since(0) {
				if e.Number == event.JobWaits {
					lines = append(lines, e.Text)
				}
			}
			return lines
		}
		for range 3 {
			b.ordered()
		}
		c.Assert(told(), quicktest.DeepEquals, []string{`why=cap organisation="a" step=0 tasks=1 running=2 held=2000m/0MB cap=2000m/0MB`})
		b.capped(8000)
		b.workers["w1"].room.Free = job.Need{}
		b.ordered()
		c.Assert(told(), quicktest.HasLen, 2)
		c.Assert(told()[1], quicktest.Contains, "why=room")
	})
}

// TestTheMetricsNameABoundedNumberOfOrganisations has more of them than are named apart.
func TestTheMetricsNameABoundedNumberOfOrganisations(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(c, nil, "w1")
	scope := tally.NewTestScope("", nil)
	b.counts = newMetrics(scope)
	for i := range organisationsMost + 10 {
		b.ledger.Acquire(fmt.Sprintf("o%03d", i), job.Need{MilliCPU: 100})
	}
	b.tellOrganisations(time.Now())
	gauges := scope.Snapshot().Gauges()
	named := 0
	for _, g := range gauges {
		if g.Name() == "organisation_millicores" {
			named++
		}
	}
	c.Assert(named, quicktest.Equals, organisationsMost+1)
	c.Assert(gauges["organisation_millicores+organisation="+otherOrganisations].Value(), quicktest.Equals, 1000.0)
	b.ledger.Release("o000", job.Need{MilliCPU: 100})
	b.tellOrganisations(time.Now().Add(organisationsEvery))
	c.Assert(scope.Snapshot().Gauges()["organisation_millicores+organisation=o000"].Value(), quicktest.Equals, 0.0)
}
