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

// LogLine is one event, parsed from a line of an entry's log.
type LogLine struct {
	Time                time.Time
	Entry, Name         string
	Number              Number
	Job, Instance, Text string
}

// String formats the line for display.
func (l LogLine) String() string {
	s := l.Time.Format("15:04:05.000") + " " + l.Entry + " " + l.Name
	for _, part := range [...]string{l.Job, l.Instance, l.Text} {
		if part != "" {
			s += " " + part
		}
	}
	return s
}

// maxLineBytes bounds the length of a log line that ReadLog accepts.
const maxLineBytes = 1 << 20

// ReadLog parses one entry's log. It returns the events in order and the number of lines that are not events.
func ReadLog(r io.Reader) (lines []LogLine, skipped int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	if err := scan.Err(); err != nil {
		return lines, skipped, fmt.Errorf("read log after %d lines: %w; the file may be truncated", len(lines)+skipped, err)
	}
	return lines, skipped, nil
}

func parseLine(text string) (LogLine, bool) {
	var l LogLine
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		value := string(d.Value())
		switch string(d.Key()) {
		case "time":
			l.Time, _ = time.Parse(time.RFC3339Nano, value) // a line without a valid time is rejected below
		case "entry":
			l.Entry = value
		case "event":
			n, _ := strconv.Atoi(value) // likewise for the event's number
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

// belongsTo reports whether the line is part of the job's history: lines of the job and its tasks, and changes of the leader.
func (l LogLine) belongsTo(job string) bool {
	switch l.Number {
	case LeadTaken, LeadLost:
		return true
	}
	return l.Job == job || strings.HasPrefix(l.Job, job+".")
}

// JobHistory returns the job's lines from the logs of several entries in causal order.
//
// The lines of one entry keep their order. Lines of different entries are ordered by their clocks, except that the leader's
// read of the job comes after the line of the entry that wrote it to the store, so that a clock that is off cannot
// reverse them.
func JobHistory(job string, logs [][]LogLine) []LogLine {
	var queues [][]LogLine
	for _, lines := range logs {
		var own []LogLine
		for _, l := range lines {
			if l.belongsTo(job) {
				own = append(own, l)
			}
		}
		if len(own) > 0 {
			queues = append(queues, own)
		}
	}
	var history []LogLine
	accepted := false
	for len(queues) > 0 {
		i := nextQueue(queues, accepted)
		l := queues[i][0]
		accepted = accepted || l.Number == JobTaken || l.Number == JobInDoubt
		history = append(history, l)
		if queues[i] = queues[i][1:]; len(queues[i]) == 0 {
			queues = slices.Delete(queues, i, i+1)
		}
	}
	return history
}

// nextQueue returns the index of the queue whose first line comes next: the one with the earliest time. A queue whose first line
// reads the job is passed over until the job was accepted, as long as another queue has the line that accepts it.
func nextQueue(queues [][]LogLine, accepted bool) int {
	best := -1
	for i, q := range queues {
		if !accepted && q[0].Number == JobRead && acceptedElsewhere(queues, i) {
			continue
		}
		if best < 0 || q[0].Time.Before(queues[best][0].Time) {
			best = i
		}
	}
	return max(best, 0)
}

// acceptedElsewhere reports whether a queue other than the one at index reader has a line that accepts the job.
func acceptedElsewhere(queues [][]LogLine, reader int) bool {
	for i, q := range queues {
		if i != reader && slices.ContainsFunc(q, func(l LogLine) bool { return l.Number == JobTaken || l.Number == JobInDoubt }) {
			return true
		}
	}
	return false
}
