// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// formatLog renders lines that begin with their second of a fixed minute as an entry's log.
func formatLog(entry string, lines ...string) string {
	var b strings.Builder
	for _, l := range lines {
		at, rest, _ := strings.Cut(l, " ")
		fmt.Fprintf(&b, "time=2030-01-01T00:00:%sZ entry=%s %s\n", at, entry, rest)
	}
	return b.String()
}

// TestLeadersModesAndPausesAreReadFromLogs merges the logs of two leaders: the first loses its term, the second takes over. The pause
// counts only while a job waits for its first start.
func TestLeadersModesAndPausesAreReadFromLogs(t *testing.T) {
	c := quicktest.New(t)
	first, _, err := ReadLog(strings.NewReader(formatLog("e1",
		`01.000 event=800 name=lead-taken text="term=1 fence=65537"`,
		`02.000 event=814 name=job-read job=00000000000000a1 text="queue=q tasks=2"`,
		`02.010 event=820 name=run-ordered job=00000000000000a1.0.0.0 text="run=1"`,
		`02.500 event=814 name=job-read job=00000000000000a2 text="queue=q tasks=1"`,
		`03.000 event=851 name=mode-ended text="mode=store-slow lasted=500ms why=\"the store takes batches in time\""`,
		`03.100 event=802 name=lead-lost text="term=1 resigned=false"`,
	)))
	c.Assert(err, quicktest.IsNil)
	second, _, err := ReadLog(strings.NewReader(formatLog("e2",
		`04.000 event=800 name=lead-taken text="term=2 fence=131073"`,
		`04.100 event=852 name=takeover-step text="step=tables-read after=100ms term=2 heard=0 of 3"`,
		`04.400 event=820 name=run-ordered job=00000000000000a2.0.0.0 text="run=1"`,
		`04.410 event=852 name=takeover-step text="step=first-start after=410ms term=2 heard=3 of 3"`,
		`09.000 event=820 name=run-ordered job=00000000000000a1.0.0.1 text="run=2"`, // no pause before it: no job was waiting
	)))
	c.Assert(err, quicktest.IsNil)
	got := Leaders(first, second)
	at := func(s string) time.Time {
		x, _ := time.Parse(time.RFC3339Nano, "2030-01-01T00:00:"+s+"Z")
		return x
	}
	c.Assert(got, quicktest.DeepEquals, Leadership{
		Terms: []LeaderTerm{
			{Entry: "e1", Term: "1", From: at("01.000"), Until: at("03.100"), Steps: map[string]time.Duration{}},
			{Entry: "e2", Term: "2", From: at("04.000"), Steps: map[string]time.Duration{"tables-read": 100 * time.Millisecond, "first-start": 410 * time.Millisecond}},
		},
		Modes:  []DegradedMode{{Entry: "e1", Name: "store-slow", From: at("02.500"), Lasted: 500 * time.Millisecond, Why: "the store takes batches in time"}},
		Pauses: []StartPause{{From: at("02.010"), To: at("04.400"), Waiting: 1}},
	})
	var b strings.Builder
	c.Assert(got.Write(&b), quicktest.IsNil)
	for _, want := range []string{"e2", "410ms", "store-slow", "2.39s", "not told", "lost"} {
		c.Assert(b.String(), quicktest.Contains, want)
	}
}

// TestTermsShowWhyAnEntryLeadsAndToWhomItHandedOver guards against an operator who can't see from the logs that the leader was unfit.
func TestTermsShowWhyAnEntryLeadsAndToWhomItHandedOver(t *testing.T) {
	c := quicktest.New(t)
	lines, _, err := ReadLog(strings.NewReader(formatLog("e1",
		`01.000 event=800 name=lead-taken text="term=7 fence=65537 why=\"no renewal\" silent=1.4s fitness=0.25 waits=375ms"`,
		`09.100 event=853 name=lead-handed-over text="term=7 to=e2 own=\"0.19 cores\" its=\"0.80 cores\" why=\"the other entry is fitter\""`,
		`09.200 event=802 name=lead-lost text="term=7 resigned=true"`,
	)))
	c.Assert(err, quicktest.IsNil)
	var b strings.Builder
	c.Assert(Leaders(lines).Write(&b), quicktest.IsNil)
	for _, want := range []string{"0.25", "no renewal", "handed to e2: the other entry is fitter"} {
		c.Assert(b.String(), quicktest.Contains, want)
	}
}
