// SPDX-License-Identifier: MIT

/*
Package event holds the numbered events that entries log and keep for the time
line.

Every event has a number that never changes its meaning. The catalogue is
docs/EVENTS.md; a test keeps it equal to the table in this package:

	log.Emit(event.PlanConfirmed, event.Subject{Plan: id}, "by operator maja")

A Ring keeps the latest events of one entry in a fixed number of places. The
time line of the whole system is the events of all entries in the order of the
log offset that each entry had folded when the event happened, and within one
entry in the order of their sequence. Clocks are shown and never compared.
*/
package event
