// SPDX-License-Identifier: MIT

package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/admission"
	"rackstep.dev/job"
	"rackstep.dev/org"
)

// Times of the simulated leader and clients.
const (
	noticeInterval = 350 * time.Millisecond
	noticeTransit  = 20 * time.Millisecond // from the leader to the entries
	noticeMaxAge   = 2 * time.Second
	clientAttempts = 5
)

var loadQueue = job.Queue{Stretch: loadStretch, Target: loadTarget}

// loadRunTimes is what the leader has learned about the load.
func loadRunTimes() admission.RunTimes {
	return admission.NewRunTimes(math.Log(0.9*loadTaskTime), loadTimeSpread*loadTimeSpread, loadEstimateError*loadEstimateError)
}

// loadGate is the leader's notices and the decisions of the entries. A nil loadGate takes every job.
type loadGate struct {
	latest, next *admission.Notice
	// at and nextAt are when they were made.
	at, nextAt time.Time
	before     map[string][]job.Milli
	random     *rand.Rand // spreads the returns of clients
}

// admit decides on the jobs whose clients hand them in now.
func (g *loadGate) admit(jobs []*loadJob, now time.Time) {
	if g == nil {
		return
	}
	if g.next != nil && now.Sub(g.nextAt) >= noticeTransit {
		g.latest, g.at, g.next = g.next, g.nextAt, nil
	}
	notice := g.latest
	if now.Sub(g.at) >= noticeMaxAge {
		notice = nil
	}
	for _, x := range jobs {
		if x.nextAttempt.After(now) || !x.taken.IsZero() || x.refusals == clientAttempts {
			continue
		}
		d := notice.Queue(x.job.Spec.Queue).Decide(x.job.Spec, loadQueue, now.Sub(g.at))
		if !d.Refused {
			x.taken = now
			continue
		}
		x.refusals++
		x.nextAttempt = now.Add(time.Duration(math.Ceil(d.RetryAfter(g.random.Float64()).Seconds())) * time.Second)
	}
}

// publish makes a notice as a leader does.
func (g *loadGate) publish(jobs []*loadJob, ends []loadEnd, now time.Time, ledger *org.Ledger) {
	if g == nil || now.Sub(g.nextAt) < noticeInterval {
		return
	}
	shares := Shares{Total: job.Need{MilliCPU: 1000 * loadCores * loadInstances}}
	if ledger != nil {
		shares.Draft = ledger.Draft(nil)
	}
	var groups []*Group
	for _, x := range jobs {
		if x.waiting != nil && !x.taken.IsZero() {
			groups = append(groups, x.waiting)
		}
	}
	standing := StandingOf(groups, shares)
	backlog := loadBacklog(jobs, ends, standing, now)
	n := new(admission.Notice)
	for _, name := range [...]string{"a", "b"} {
		n.Queues = append(n.Queues, g.queue(name, jobs, backlog, standing))
	}
	g.next, g.nextAt = n, now
}

// loadBacklog returns the work that goes before fresh jobs.
func loadBacklog(jobs []*loadJob, ends []loadEnd, standing Standing, now time.Time) admission.Backlog {
	b := admission.Backlog{Room: admission.Room{Now: loadInstances}}
	for _, e := range ends {
		b.Before += float64(e.need.MilliCPU) / 1000 / loadCores * 0.45 * loadTaskTime
	}
	for _, x := range jobs {
		if x.taken.IsZero() || x.step == len(x.left) {
			continue
		}
		o := x.estimate().At(now)
		if !o.Timely() {
			continue
		}
		add := func(step, tasks int, factor float64) {
			work := float64(tasks) * x.expectedTimes[step].Seconds() * float64(x.job.Spec.Steps[step].Need.MilliCPU) / 1000 / loadCores
			b.Waiting = append(b.Waiting, admission.Work{Rank: o.Expected * factor, Seconds: work, Until: o.LatestStart()})
		}
		if x.waiting != nil {
			add(x.step, len(x.waiting.Tasks), x.waiting.ShareFactor())
		}
		for i := x.step + 1; i < len(x.left); i++ {
			add(i, x.left[i], standing.Factor(x.job.Spec.Organisation, o.Expected))
		}
	}
	b.Sort()
	return b
}

// queue returns what is published about a queue.
func (g *loadGate) queue(name string, jobs []*loadJob, backlog admission.Backlog, standing Standing) admission.Queue {
	sum, n := 0.0, 0.0
	for _, x := range jobs {
		if x.job.Spec.Queue == name {
			sum += loadRunTimes().SizeOf(x.job.Spec).Work
			n++
		}
	}
	mean := sum / max(n, 1)
	waits := func(organisation string) []time.Duration {
		var out []time.Duration
		for _, level := range admission.Levels() {
			rank := FreshRank(min(0.3+0.7*level, 4) / (level * mean))
			out = append(out, backlog.Wait(rank*standing.Factor(organisation, rank)))
		}
		return out
	}
	q := admission.NewQueue(name, loadRunTimes(), mean, waits(""))
	q.SetGrowth(g.before[name], noticeInterval)
	if g.before == nil {
		g.before = make(map[string][]job.Milli)
	}
	g.before[name] = q.Waits
	for _, o := range standing.Organisations(FreshRank(1/mean), admission.MaxOrganisations) {
		q.Organisations = append(q.Organisations, admission.Organisation{Name: o, Waits: admission.Millis(waits(o))})
	}
	return q
}

// overloadCase is a load of two queues whose bursts overlap.
type overloadCase struct {
	load, hot    float64 // load of each burst as a multiple of the capacity, and that of one organisation as a multiple of the others'
	outageLength time.Duration
}

// play simulates the case with or without refusals.
func (x overloadCase) play(c *quicktest.C, seed uint64, refuses bool) []*loadJob {
	const organisations, overlapStart = 4, 3 * time.Second
	r := rand.New(rand.NewPCG(seed, 9))
	first, second := newLoad(r, x.load), newLoad(r, x.load)
	rows := []org.Organisation{{Name: "hot", Weight: 10}}
	for i := range organisations {
		rows = append(rows, org.Organisation{Name: fmt.Sprint("o", i), Weight: 10})
	}
	for i, j := range slices.Concat(first, second) {
		s := j.job.Spec
		s.ID, s.Queue, s.Organisation = fmt.Sprintf("%016x", i), "a", fmt.Sprint("o", r.IntN(organisations))
		if r.Float64()*(organisations+x.hot) < x.hot {
			s.Organisation = "hot"
		}
		if i >= len(first) {
			s.Queue, j.at = "b", j.at.Add(overlapStart)
		}
		j.taken, j.nextAttempt = j.at, j.at
		j.waiting.Since = j.at
		if refuses {
			j.taken = time.Time{}
		}
	}
	jobs := slices.Concat(first, second)
	d, err := org.NewDirectory(rows)
	c.Assert(err, quicktest.IsNil)
	ledger := new(org.Ledger)
	ledger.SetDirectory(d)
	var gate *loadGate
	if refuses {
		gate = &loadGate{random: r}
	}
	simulateJobs(jobs, 2*time.Second, x.outageLength, ledger, gate)
	return jobs
}

// outcome sums up what clients got.
type outcome struct {
	jobs, inTime, refused, wrong, never int
	surprised                           int // late or without value although taken at the first attempt
	value, total                        float64
	waited                              []time.Duration // from the first refusal until the job was taken
}

func (o *outcome) add(x *loadJob, before *loadJob) {
	o.jobs++
	o.value += x.earned()
	o.total += x.value
	inTime := x.earned() == x.value
	if inTime {
		o.inTime++
	}
	if x.refusals == 0 {
		if !inTime {
			o.surprised++
		}
		return
	}
	o.refused++
	if before.earned() == before.value {
		o.wrong++
	}
	if x.taken.IsZero() {
		o.never++
		return
	}
	o.waited = append(o.waited, x.taken.Sub(x.at))
}

func (o *outcome) longest() time.Duration {
	if len(o.waited) == 0 {
		return 0
	}
	return slices.Max(o.waited)
}

// Guards against refusals that cost more than they give: a job that would have been in time without refusals, an organisation or a queue
// that yields less, or a client that is turned away for long. The same load is simulated with and without refusals. Which of two equal
// jobs is in time is chance, so that some of the refused would have been in time; at least as many others must be in time instead.
func TestRefusalsTakeNothingFromAnybody(t *testing.T) {
	for _, x := range [...]struct {
		name string
		overloadCase
		// wrong is the largest share of the jobs in time without refusals that may be refused, and surprised that of the late jobs
		// whose clients may not have been refused.
		wrong, surprised float64
	}{
		{"enough room", overloadCase{load: 0.45, hot: 1}, 0, 1},
		{"a little too much", overloadCase{load: 0.7, hot: 1}, 0.03, 1},
		{"bursts of three times the capacity", overloadCase{load: 3, hot: 1}, 0.1, 0.55},
		{"a hot organisation", overloadCase{load: 3, hot: 8}, 0.1, 0.55},
		{"an outage", overloadCase{load: 1.2, hot: 1, outageLength: 2400 * time.Millisecond}, 0.05, 1},
		{"an outage in bursts of three times the capacity", overloadCase{load: 3, hot: 1, outageLength: 2400 * time.Millisecond}, 0.1, 0.7},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := quicktest.New(t)
			const runs = 4
			rows := make(map[string]*[2]outcome)
			for seed := range uint64(runs) {
				without, with := x.play(c, seed, false), x.play(c, seed, true)
				for i := range with {
					for _, name := range [...]string{"all", "queue " + with[i].job.Spec.Queue, "organisation " + with[i].job.Spec.Organisation} {
						if rows[name] == nil {
							rows[name] = new([2]outcome)
						}
						rows[name][0].add(without[i], without[i])
						rows[name][1].add(with[i], without[i])
					}
				}
			}
			for name, r := range rows {
				t.Logf("%-16s %5d jobs, in time %4d, with refusals %4d; value %.3f, %.3f; %4d refused, %3d of them in time without, %d never taken, longest %v; late unannounced %d, %d",
					name, r[0].jobs, r[0].inTime, r[1].inTime, r[0].value/r[0].total, r[1].value/r[1].total, r[1].refused, r[1].wrong, r[1].never, r[1].longest(), r[0].surprised, r[1].surprised)
				c.Check(r[1].value >= r[0].value-0.03*r[0].total, quicktest.IsTrue, quicktest.Commentf("%s: value", name))
			}
			all := rows["all"]
			c.Check(float64(all[1].wrong) <= x.wrong*float64(all[0].inTime), quicktest.IsTrue)
			c.Check(all[1].value >= all[0].value-0.01*all[0].total, quicktest.IsTrue)
			c.Check(float64(all[1].surprised) <= x.surprised*float64(all[0].surprised), quicktest.IsTrue)
			c.Check(all[1].longest() <= 15*time.Second, quicktest.IsTrue)
		})
	}
}
