// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func readLines(c *quicktest.C, entry string, lines ...string) []LogLine {
	read, _, err := ReadLog(strings.NewReader(formatLog(entry, lines...)))
	c.Assert(err, quicktest.IsNil)
	return read
}

// TestEachMomentOfAJobHasOnePhase follows a two-step job with a refused submission, a failed run and a silent worker. Each phase must get
// its part of the time, a step that runs counts by its last task only, and a lasting job is left out.
func TestEachMomentOfAJobHasOnePhase(t *testing.T) {
	c := quicktest.New(t)
	entry := readLines(c, "e1",
		`01.000 event=811 name=job-refused job=00000000000000a1 text="submit queue=q end=0 tries=0 took=0s"`,
		`02.500 event=810 name=job-taken job=00000000000000a1 text="submit queue=q end=1 tries=1 took=500ms"`,
	)
	leader := readLines(c, "e2",
		`02.600 event=814 name=job-read job=00000000000000a1 text="queue=q tasks=3 step=2x1000m/1MB/500ms step=1x1000m/1MB/500ms part=0 offset=1"`,
		`02.700 event=820 name=run-ordered instance=i1 job=00000000000000a1.0.0.0 text="run=1"`,
		`02.900 event=820 name=run-ordered instance=i2 job=00000000000000a1.0.0.1 text="run=2"`,
		`03.200 event=823 name=run-ended instance=i1 job=00000000000000a1.0.0.0 text="run=1 how=succeeded n=1"`,
		`03.400 event=823 name=run-ended instance=i2 job=00000000000000a1.0.0.1 text="run=2 how=failed n=1"`,
		`03.500 event=820 name=run-ordered instance=i1 job=00000000000000a1.0.0.1 text="run=3"`,
		`04.000 event=823 name=run-ended instance=i1 job=00000000000000a1.0.0.1 text="run=3 how=succeeded n=2"`,
		`04.010 event=820 name=run-ordered instance=i2 job=00000000000000a1.0.1.0 text="run=4"`,
		`04.510 event=831 name=worker-silent instance=i2 text="machine=m runs=1"`,
		`06.510 event=831 name=worker-silent instance=i2 text="answers again after 2s"`,
		`06.600 event=823 name=run-ended instance=i2 job=00000000000000a1.0.1.0 text="run=4 how=succeeded n=2"`,
		`06.700 event=815 name=job-ended job=00000000000000a1 text="state=succeeded after=4.1s"`,
		`06.800 event=814 name=job-read job=00000000000000a2 text="queue=q tasks=1 step=1x1000m/1MB/500ms part=0 offset=2"`,
		`06.800 event=814 name=job-read job=00000000000000a3 text="queue=q tasks=1 step=1x1000m/1MB/0ms,lasting,image=,target=0,fills=false,miss=0 part=0 offset=3"`,
	)
	rows := Losses(ByQueue, 4*time.Second, entry, leader)
	at := func(s int) time.Time { return time.Date(2030, 1, 1, 0, 0, s, 0, time.UTC) }
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	c.Assert(rows, quicktest.DeepEquals, []Loss{
		{Name: "q", From: at(0), Jobs: 1, Median: ms(5700), Max: ms(5700), Means: [phaseCount]time.Duration{
			Unaccepted: ms(1500), Unread: ms(100), WaitingForCapacity: ms(310), WaitingForRetry: ms(100), FailedRun: ms(500), WorkerUnreachable: ms(2000), SuccessfulRun: ms(1090), Storing: ms(100),
		}},
		{Name: "q", From: at(4), Unfinished: 1},
	})
	var b strings.Builder
	c.Assert(WriteLosses(&b, ByQueue, rows), quicktest.IsNil)
	for _, want := range []string{"DOUBT", "2.00", "5.70"} {
		c.Assert(b.String(), quicktest.Contains, want)
	}
}

// TestARunOnAWorkerThatIsLostEndsWithIt checks a run without an end of its own: it ends when the worker is lost, and the time since the
// worker fell silent counts as WorkerUnreachable.
func TestARunOnAWorkerThatIsLostEndsWithIt(t *testing.T) {
	c := quicktest.New(t)
	lines := readLines(c, "e1",
		`01.000 event=814 name=job-read job=00000000000000a1 text="queue=q tasks=1 step=1x1000m/1MB/500ms part=0 offset=1"`,
		`01.100 event=820 name=run-ordered instance=i1 job=00000000000000a1.0.0.0 text="run=1"`,
		`01.500 event=831 name=worker-silent instance=i1 text="machine=m runs=1"`,
		`04.500 event=832 name=worker-lost instance=i1 text="its lease is over runs=1"`,
		`04.600 event=820 name=run-ordered instance=i2 job=00000000000000a1.0.0.0 text="run=2"`,
		`05.600 event=823 name=run-ended instance=i2 job=00000000000000a1.0.0.0 text="run=2 how=succeeded n=1"`,
		`05.700 event=815 name=job-ended job=00000000000000a1 text="state=succeeded"`,
	)
	rows := Losses(ByQueue, time.Minute, lines)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	c.Assert(rows, quicktest.HasLen, 1)
	c.Assert(rows[0].Means, quicktest.DeepEquals, [phaseCount]time.Duration{WaitingForCapacity: ms(100), FailedRun: ms(400), WorkerUnreachable: ms(3000), WaitingForRetry: ms(100), SuccessfulRun: ms(1000), Storing: ms(100)})
}

// TestPhasesAddUpToAJobsTime generates logs with missing, repeated and reordered lines. The phases of the job must add up to its total
// time in every case.
func TestPhasesAddUpToAJobsTime(t *testing.T) {
	c := quicktest.New(t)
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		at := func() string { return fmt.Sprintf("%02d.%03d", r.IntN(20), r.IntN(1000)) }
		lines := []string{
			`00.500 event=814 name=job-read job=00000000000000a1 text="queue=q tasks=4 step=3x1m/1MB/1ms step=1x1m/1MB/1ms"`,
			`25.000 event=815 name=job-ended job=00000000000000a1 text="state=succeeded"`,
		}
		for range r.IntN(30) {
			task := fmt.Sprintf("00000000000000a1.0.%d.%d", r.IntN(2), r.IntN(3))
			incarnation := fmt.Sprintf("i%d", r.IntN(2))
			lines = append(lines, [...]string{
				at() + ` event=820 name=run-ordered instance=` + incarnation + ` job=` + task + ` text="run=1"`,
				at() + ` event=823 name=run-ended instance=` + incarnation + ` job=` + task + ` text="run=1 how=succeeded"`,
				at() + ` event=823 name=run-ended instance=` + incarnation + ` job=` + task + ` text="run=1 how=lapsed"`,
				at() + ` event=831 name=worker-silent instance=` + incarnation + ` text="machine=m"`,
				at() + ` event=831 name=worker-silent instance=` + incarnation + ` text="answers again after 1s"`,
				at() + ` event=810 name=job-taken job=00000000000000a1 text="submit took=300ms"`,
			}[r.IntN(6)])
		}
		rows := Losses(ByQueue, time.Minute, readLines(c, "e", lines...))
		c.Assert(rows, quicktest.HasLen, 1, quicktest.Commentf("seed %d", seed))
		sum := time.Duration(0)
		for _, d := range rows[0].Means {
			sum += d
		}
		c.Assert(sum, quicktest.Equals, rows[0].Max, quicktest.Commentf("seed %d", seed))
	}
}

// TestLossesByOrganisationTellTheCap checks the division of a wait: a job waits for capacity, then for its organisation's cap, then for
// capacity again. Jobs without an organisation have a row of their own.
func TestLossesByOrganisationTellTheCap(t *testing.T) {
	c := quicktest.New(t)
	lines := readLines(c, "e1",
		`01.000 event=814 name=job-read job=00000000000000a1 text="queue=q tasks=1 organisation=\"a b\" step=1x1000m/1MB/500ms part=0 offset=1"`,
		`01.200 event=819 name=job-waits job=00000000000000a1 text="why=cap organisation=\"a b\" step=0"`,
		`02.200 event=819 name=job-waits job=00000000000000a1 text="why=room organisation=\"a b\" step=0"`,
		`02.300 event=820 name=run-ordered instance=i1 job=00000000000000a1.0.0.0 text="run=1"`,
		`02.800 event=823 name=run-ended instance=i1 job=00000000000000a1.0.0.0 text="run=1 how=succeeded n=1"`,
		`02.900 event=815 name=job-ended job=00000000000000a1 text="state=succeeded"`,
		`01.000 event=814 name=job-read job=00000000000000a2 text="queue=q tasks=1 step=1x1000m/1MB/500ms part=0 offset=1"`,
	)
	rows := Losses(ByOrganisation, time.Minute, lines)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	c.Assert(rows, quicktest.HasLen, 2)
	c.Assert(rows[0].Name, quicktest.Equals, "")
	c.Assert(rows[1].Name, quicktest.Equals, "a b")
	c.Assert(rows[1].Means, quicktest.DeepEquals, [phaseCount]time.Duration{WaitingForCapacity: ms(300), WaitingForCap: ms(1000), SuccessfulRun: ms(500), Storing: ms(100)})
	var b strings.Builder
	c.Assert(WriteLosses(&b, ByOrganisation, rows), quicktest.IsNil)
	c.Assert(b.String(), quicktest.Contains, "ORGANISATION")
	c.Assert(b.String(), quicktest.Contains, "CAP")
}
