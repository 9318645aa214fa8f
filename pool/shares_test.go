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

// setCap configures organisations "a" and "b", of which "a" has a cap in thousandths of a core.
func (b *fixture) setCap(milliCPU int) {
	b.c.Helper()
	d, err := org.NewDirectory([]org.Organisation{{Name: "a", Weight: 10, Cap: job.Need{MilliCPU: milliCPU}}, {Name: "b", Weight: 10}})
	b.c.Assert(err, quicktest.IsNil)
	organisationsChanged{d}.apply(b.session)
}

// submit reads a job of an organisation from the intake.
func (b *fixture) submit(organisation, id string, s job.Step) *job.Job {
	b.c.Helper()
	j := b.readIntake(0, record(b.c, job.Qualify(organisation, id).SubmissionKey(), &job.Spec{ID: id, Queue: "q", Pool: "p", Steps: []job.Step{s}, Taken: job.UnixMilli(time.Now().UnixMilli())}), time.Now())
	b.c.Assert(j, quicktest.IsNotNil)
	b.checkRate(j)
	b.openJob(j, time.Now())
	return j
}

func oneCoreTasks(count int) job.Step { return job.Step{Count: count, Need: job.Need{MilliCPU: 1000}} }

// submitToEarlierLeader reads a job of an organisation that an earlier leader also knew.
func (b *fixture) submitToEarlierLeader(organisation, id string, s job.Step) {
	b.c.Helper()
	b.submit(organisation, id, s)
	b.inheritedJobs[id] = true
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// TestACapCountsWhatIsUnderWay guards against exceeding a cap by not counting runs whose start is unanswered or that are being stopped: all of them
// may be active.
func TestACapCountsWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1", "w2")
		b.setCap(3000)
		b.report("w1", 10, nil)
		b.report("w2", 10, nil)
		first := b.submit("a", jobID(1), oneCoreTasks(2))
		c.Assert(b.placeAndCount(), quicktest.Equals, 2)
		b.commitAll() // sent but not answered
		b.submit("a", jobID(2), oneCoreTasks(3))
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
		b.stopJob(first, "cancelled")
		b.commitAll()
		c.Assert(b.placeAndCount(), quicktest.Equals, 0, quicktest.Commentf("stopped is not ended"))
		c.Assert(b.submit("b", jobID(3), oneCoreTasks(2)).State, quicktest.Equals, job.Queued)
		c.Assert(b.placeAndCount(), quicktest.Equals, 2, quicktest.Commentf("what waits for its cap keeps no room"))
	})
}

// TestTheNextLeaderCountsBeforeItsFirstStart guards against a new leader exceeding a cap because it does not count runs started by earlier leaders on
// workers that have not answered yet.
func TestTheNextLeaderCountsBeforeItsFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		spec := &job.Spec{ID: jobID(1), Queue: "q", Pool: "p", Steps: []job.Step{oneCoreTasks(2)}, Organisation: "a"}
		j := job.New(spec, time.Now())
		for i := range j.Tasks {
			j.Tasks[i].Phase, j.Tasks[i].Run, j.Tasks[i].Worker = job.Active, int64(5+i), "w1"
		}
		b := newFixture(c, []*job.Job{j}, "w1", "w2")
		held, runs := b.ledger.Held("a")
		c.Assert(held, quicktest.Equals, job.Need{MilliCPU: 2000})
		c.Assert(runs, quicktest.Equals, 2)
		b.setCap(3000)
		b.report("w2", 10, nil) // w1 has not answered yet
		b.submit("a", jobID(2), oneCoreTasks(4))
		c.Assert(b.placeAndCount(), quicktest.Equals, 1)
	})
}

func TestWhatAnEarlierLeaderMayNotHaveKeptCountsAgainstEveryCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1", "w2")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.earlierUnstored = true
		b.uncertainIncarnations["w1"] = b.workers["w1"]
		b.majorityFencedAt = time.Now()
		b.setCap(6000)
		b.report("w2", 10, nil)
		b.submitToEarlierLeader("a", jobID(9), oneCoreTasks(20))
		b.submit("a", jobID(1), oneCoreTasks(4))
		c.Assert(b.placeAndCount(), quicktest.Equals, 2, quicktest.Commentf("w1 may run four cores of anybody's"))
		b.report("w1", 10, nil)
		c.Assert(b.placeAndCount(), quicktest.Equals, 6)
	})
}

// TestWhatDoesNotWaitCanNotRunUnkept guards against charging the full capacity of unreachable workers to every organisation. After a partition and a
// takeover, that kept small organisations from starting anything for three seconds. An organisation can't have more unstored runs than it has waiting
// tasks.
func TestWhatDoesNotWaitCanNotRunUnkept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1", "w2", "w3", "w4")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.earlierUnstored, b.majorityFencedAt = true, time.Now()
		for _, incarnation := range []string{"w1", "w2", "w3"} {
			b.uncertainIncarnations[incarnation] = b.workers[incarnation]
		}
		b.setCap(5000)
		b.report("w4", 10, nil)
		b.submitToEarlierLeader("a", jobID(9), oneCoreTasks(2))
		b.submitToEarlierLeader("b", jobID(8), oneCoreTasks(20))
		b.submit("a", jobID(1), oneCoreTasks(4))
		c.Assert(b.placeAndCount(), quicktest.Equals, 3)
	})
}

// TestUntilHalfHaveItsTokenALeaderCountsWhatAnotherMayStart guards against exceeding a cap while the previous leader, which may continue without the
// store, can still start runs. Found by random histories (seed 2516).
func TestUntilHalfHaveItsTokenALeaderCountsWhatAnotherMayStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1", "w2", "w3")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorRenewed: time.Now()}
		for _, incarnation := range []string{"w1", "w2"} {
			b.uncertainIncarnations[incarnation] = b.workers[incarnation]
		}
		b.setCap(9000)
		b.report("w3", 10, nil)
		b.submitToEarlierLeader("a", jobID(9), oneCoreTasks(20))
		b.submit("a", jobID(1), oneCoreTasks(6))
		c.Assert(b.placeAndCount(), quicktest.Equals, 1, quicktest.Commentf("w1 and w2 may run eight cores of anybody's"))
		b.report("w2", 10, nil)
		c.Assert(b.majorityFencedAt.IsZero(), quicktest.IsFalse)
		c.Assert(b.placeAndCount(), quicktest.Equals, 8, quicktest.Commentf("all that w2 and w3 have room for"))
	})
}

// TestAnUnlistedIncarnationCountsAsTheLargestWorker guards against ignoring a stored incarnation that is no longer listed, so that its capacity is unknown. A
// previous leader that was partitioned continued to start runs there. Found by random histories (seed 2929).
func TestAnUnlistedIncarnationCountsAsTheLargestWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w2")
		b.term = lead.Term{Number: 2, Fence: 2 << 16, PredecessorsUnstored: true}
		b.fillTables(feed.KeyedPage{Records: []feed.KeyedRecord{record(c, workersKey, []keptWorker{{Incarnation: "w1", Machine: "m-w1", Pool: "p"}})}}, []feed.KeyedPage{{}}, feed.KeyedPage{})
		b.majorityFencedAt = time.Now()
		b.setCap(6000)
		b.report("w2", 10, nil)
		b.submitToEarlierLeader("a", jobID(9), oneCoreTasks(20))
		b.submit("a", jobID(1), oneCoreTasks(4))
		c.Assert(b.placeAndCount(), quicktest.Equals, 2)
	})
}

func TestACapLoweredBetweenDecisionAndOrderHoldsTheOrderBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		b.setCap(4000)
		b.report("w1", 10, nil)
		b.submit("a", jobID(1), oneCoreTasks(4))
		c.Assert(b.placeAndCount(), quicktest.Equals, 4)
		b.setCap(2000)
		b.commitAll()
		held, runs := b.ledger.Held("a")
		c.Assert(held, quicktest.Equals, job.Need{MilliCPU: 2000})
		c.Assert(runs, quicktest.Equals, 2)
	})
}

// TestTheLedgerIsARecountOfTheWorkersLists compares the ledger with a recount of the workers' tables after random reports, losses and orders.
func TestTheLedgerIsARecountOfTheWorkersLists(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			r := rand.New(rand.NewPCG(seed, 3))
			b := newFixture(c, nil, "w1", "w2", "w3")
			b.setCap(5000)
			clock, newest := work.Clock(10), make(map[string]int64)
			for _, incarnation := range []string{"w1", "w2", "w3"} {
				b.report(incarnation, clock, nil)
			}
			for step := range 60 {
				switch r.IntN(6) {
				case 0:
					b.submit([]string{"a", "b", ""}[r.IntN(3)], jobID(step), job.Step{Count: 1 + r.IntN(4), Need: job.Need{MilliCPU: 500 * (1 + r.IntN(3)), MemoryMB: r.IntN(100)}})
				case 1:
					b.placeAndCount()
					b.commitAll()
				case 2:
					b.setCap(1000 * r.IntN(8))
				case 3:
					if len(b.workers) > 1 && r.IntN(5) == 0 {
						for _, w := range b.workers {
							b.endIncarnation(w, "test")
							break
						}
					}
				default:
					clock += 100
					for incarnation, w := range b.workers {
						var rows []work.RunStatus
						var ends []work.EndedRun
						for t, x := range w.runs {
							switch {
							case r.IntN(3) == 0:
								newest[incarnation]++
								ends = append(ends, work.EndedRun{Seq: newest[incarnation], Task: t.Name(), Run: x.number, Outcome: []work.Outcome{work.Stopped, work.Failed, work.Succeeded}[r.IntN(3)]})
							case x.sent:
								rows = append(rows, work.RunStatus{Task: t.Name(), Run: x.number})
							}
							if r.IntN(9) == 0 {
								rows = append(rows, work.RunStatus{Task: t.Name(), Run: x.number + 1000})
							}
						}
						b.report(incarnation, clock, rows, ends...)
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
						for _, x := range w.supersededRuns {
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

// TestWhatIsPublishedWhileALeaderReadsItsTablesCounts guards against a leader missing a configuration that is published between the start of its
// session and the end of loading. Such leaders used outdated caps for their whole term. Found by random histories of caps (seeds 27 and 31).
func TestWhatIsPublishedWhileALeaderReadsItsTablesCounts(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil, "w1")
	newer := &job.Catalog{Version: 9}
	d, err := org.NewDirectory([]org.Organisation{{Name: "a", Weight: 1}})
	c.Assert(err, quicktest.IsNil)
	b.Scheduler.SetOrganisations(d) // no session is active yet
	b.Scheduler.SetCatalog(newer)
	b.Scheduler.setCurrent(b.session)
	for _, m := range b.inbox.takeAll() {
		m.apply(b.session)
	}
	c.Assert(b.config, quicktest.Equals, newer)
	c.Assert(b.ledger.Directory(), quicktest.Equals, d)
}

// TestWorkOverItsRateLimitOrCapRequestsNoInstances checks that jobs over their rate limit and tasks held back by a cap do not increase the need of
// a pool.
func TestWorkOverItsRateLimitOrCapRequestsNoInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		b.setCap(1000)
		b.report("w1", 10, nil)
		b.submit("b", jobID(1), oneCoreTasks(6))
		b.placeAndCount()
		b.countLoads()
		before := b.pool("p").load.waitingWork
		b.submit("a", jobID(2), oneCoreTasks(20))
		b.submit("b", jobID(3), oneCoreTasks(20)).OverRate = true
		b.openJob(b.jobs[jobID(3)], time.Now())
		b.placeAndCount()
		b.countLoads()
		c.Assert(b.pool("p").load.waitingWork, quicktest.Equals, before)
	})
}

func TestACapIsToldOnceWhenItBeginsAndWhenItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		b := newFixture(c, nil, "w1")
		b.setCap(2000)
		b.report("w1", 10, nil)
		b.submit("a", jobID(1), oneCoreTasks(3))
		told := func() (lines []string) {
			for _, e := range b.Events.Since(0) {
				if e.Number == event.JobWaits {
					lines = append(lines, e.Text)
				}
			}
			return lines
		}
		for range 3 {
			b.placeAndCount()
		}
		c.Assert(told(), quicktest.DeepEquals, []string{`why=cap organisation="a" step=0 tasks=1 running=2 held=2000m/0MB cap=2000m/0MB`})
		b.setCap(8000)
		b.workers["w1"].candidate.Free = job.Need{}
		b.placeAndCount()
		c.Assert(told(), quicktest.HasLen, 2)
		c.Assert(told()[1], quicktest.Contains, "why=room")
	})
}

// TestTheMetricsNameABoundedNumberOfOrganisations checks that organisations beyond the limit share one gauge.
func TestTheMetricsNameABoundedNumberOfOrganisations(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(c, nil, "w1")
	scope := tally.NewTestScope("", nil)
	b.counts = newMetrics(scope)
	for i := range maxOrganisationGauges + 10 {
		b.ledger.Acquire(fmt.Sprintf("o%03d", i), job.Need{MilliCPU: 100})
	}
	b.updateOrganisationGauges(time.Now())
	gauges := scope.Snapshot().Gauges()
	named := 0
	for _, g := range gauges {
		if g.Name() == "organisation_millicores" {
			named++
		}
	}
	c.Assert(named, quicktest.Equals, maxOrganisationGauges+1)
	c.Assert(gauges["organisation_millicores+organisation="+otherOrganisations].Value(), quicktest.Equals, 1000.0)
	b.ledger.Release("o000", job.Need{MilliCPU: 100})
	b.updateOrganisationGauges(time.Now().Add(organisationGaugeInterval))
	c.Assert(scope.Snapshot().Gauges()["organisation_millicores+organisation=o000"].Value(), quicktest.Equals, 0.0)
}
