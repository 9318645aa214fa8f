// SPDX-License-Identifier: MIT

package event

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one log line of an entry.
type Line struct {
	Time                time.Time
	Entry, Name         string
	Number              Number
	Job, Instance, Text string
}

// String returns the line as a person reads it.
func (l Line) String() string {
	s := l.Time.Format("15:04:05.000") + " " + l.Entry + " " + l.Name
	for _, part := range [...]string{l.Job, l.Instance, l.Text} {
		if part != "" {
			s += " " + part
		}
	}
	return s
}

// maxLine bounds a log line that is read.
const maxLine = 1 << 20

// ReadLog reads the structured lines of one entry's log, in order; lines that are none are passed over and counted.
func ReadLog(r io.Reader) (lines []Line, others int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text()); ok {
			lines = append(lines, l)
		} else {
			others++
		}
	}
	if err := scan.Err(); err != nil {
		return lines, others, fmt.Errorf("read log: %w; it may be cut", err)
	}
	return lines, others, nil
}

func parseLine(text string) (Line, bool) {
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		value := string(d.Value())
		switch string(d.Key()) {
		case "time":
			l.Time, _ = time.Parse(time.RFC3339Nano, value) // a line without a time is none, see below
		case "entry":
			l.Entry = value
		case "event":
			n, _ := strconv.Atoi(value) // the same
			l.Number = Number(n)
		case "name":
			l.Name = value
		case "job":
			l.Job = value
		case "instance":
			l.Instance = value
		case "text":
			l.Text = value
		}
	}
	return l, d.Err() == nil && l.Number > 0 && !l.Time.IsZero()
}

// about says whether the line belongs to the job's story: its own lines, and changes of the lead and the store's failures.
func (l Line) about(job string) bool {
	switch l.Number {
	case LeadTaken, LeadLost:
		return true
	}
	return l.Job == job || strings.HasPrefix(l.Job, job+".")
}

// Story returns the job's lines from the logs of several entries in causal order.
//
// Lines of one entry keep their order. Between entries clocks decide, but what was read or answered comes after what was
// written, however the clocks stand.
func Story(job string, logs [][]Line) []Line {
	var queues [][]Line
	for _, lines := range logs {
		var own []Line
		for _, l := range lines {
			if l.about(job) {
				own = append(own, l)
			}
		}
		if len(own) > 0 {
			queues = append(queues, own)
		}
	}
	var story []Line
	taken := false
	for len(queues) > 0 {
		i := nextQueue(queues, taken)
		l := queues[i][0]
		taken = taken || l.Number == JobTaken || l.Number == JobInDoubt
		story = append(story, l)
		if queues[i] = queues[i][1:]; len(queues[i]) == 0 {
			queues = slices.Delete(queues, i, i+1)
		}
	}
	return story
}

// nextQueue returns the queue whose first line comes next: the earliest, but none that reads a job before it was taken
// while another queue still has the taking.
func nextQueue(queues [][]Line, taken bool) int {
	best := -1
	for i, q := range queues {
		if !taken && q[0].Number == JobRead && otherTakes(queues, i) {
			continue
		}
		if best < 0 || q[0].Time.Before(queues[best][0].Time) {
			best = i
		}
	}
	return max(best, 0)
}

func otherTakes(queues [][]Line, not int) bool {
	for i, q := range queues {
		if i != not && slices.ContainsFunc(q, func(l Line) bool { return l.Number == JobTaken || l.Number == JobInDoubt }) {
			return true
		}
	}
	return false
}
