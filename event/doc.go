// SPDX-License-Identifier: MIT

/*
Package event defines the numbered events that entries log and keep in memory,
and the analyses of those logs that the command line prints.

The meaning of a number never changes. The catalogue of events is
docs/EVENTS.md, which is generated from the table in this package; a test
checks that the two agree:

	ring.Emit(event.PlanOrdered, event.Subject{Plan: id}, "confirm by operator maja")

A Ring keeps the latest events of one entry in a ring buffer. SortTimeLine
merges the events of several entries by the offset of the last record that the
entry had folded when the event occurred, then by entry and sequence number.
Clocks are displayed and never compared, because the entries' clocks differ.

JobHistory, Leaders, Drains and Losses work on log files instead. Log lines
carry no common sequence, so these functions merge the lines of several entries
by their clocks.
*/
package event
