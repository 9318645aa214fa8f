// SPDX-License-Identifier: MIT

package event

import (
	"bytes"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestAJobHistoryIsCausalWhateverTheClocksSay checks that the entry that accepts a job comes before the leader that reads it, also when the
// accepting entry's clock is ahead, and that lines of other jobs and lines that are not events are left out.
func TestAJobHistoryIsCausalWhateverTheClocksSay(t *testing.T) {
	c := quicktest.New(t)
	acceptor := `time=2030-01-01T00:00:05Z entry=a event=810 name=job-taken job=00000000000000a1 text="submit end=3"
not a line
time=2030-01-01T00:00:06Z entry=a event=810 name=job-taken job=00000000000000b2 text="submit end=4"
`
	leader := `time=2030-01-01T00:00:01Z entry=b event=800 name=lead-taken about=b text="term=1"
time=2030-01-01T00:00:02Z entry=b event=814 name=job-read job=00000000000000a1
time=2030-01-01T00:00:02Z entry=b event=820 name=run-ordered instance=i-1 job=00000000000000a1.0.0.0 text="run=7"
time=2030-01-01T00:00:03Z entry=b event=823 name=run-ended instance=i-1 job=00000000000000a1.0.0.0 text="run=7 how=succeeded"
`
	var logs [][]LogLine
	for _, text := range [...]string{leader, acceptor} {
		lines, _, err := ReadLog(strings.NewReader(text))
		c.Assert(err, quicktest.IsNil)
		logs = append(logs, lines)
	}
	var names []string
	for _, l := range JobHistory("00000000000000a1", logs) {
		names = append(names, l.Name)
	}
	c.Assert(names, quicktest.DeepEquals, []string{"lead-taken", "job-taken", "job-read", "run-ordered", "run-ended"})
	_, skipped, _ := ReadLog(strings.NewReader(acceptor))
	c.Assert(skipped, quicktest.Equals, 1)
}

// TestAWriterIsBoundedAndCountsWhatItDrops checks that a Writer whose output cannot keep up drops lines beyond its buffer and counts
// them, and that Write reports success all the same.
func TestAWriterIsBoundedAndCountsWhatItDrops(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	w := &Writer{Out: &out}
	w.flushScheduled = true // no flush runs before the one below
	line := bytes.Repeat([]byte("x"), 1000)
	for range 1000 {
		n, err := w.Write(line)
		c.Assert(err, quicktest.IsNil)
		c.Assert(n, quicktest.Equals, len(line))
	}
	c.Assert(w.Dropped(), quicktest.Equals, int64(1000-maxBufferedBytes/1000))
	w.Flush()
	c.Assert(out.Len() <= maxBufferedBytes, quicktest.IsTrue)
}

func FuzzReadLog(f *testing.F) {
	f.Add("time=2030-01-01T00:00:05Z entry=a event=810 name=job-taken job=1")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, _ := ReadLog(strings.NewReader(text))
		JobHistory("1", [][]LogLine{lines})
	})
}
