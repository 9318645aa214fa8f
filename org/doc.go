// SPDX-License-Identifier: MIT

/*
Package org holds the organisations that share a deployment: who may call, and
how much each may use.

An Organisation has keys, a weight and a cap. A Directory is one immutable,
validated version of all of them, so that a request is checked against one
version from beginning to end:

	d, err := org.NewDirectory(rows)
	if err != nil { ... }        // lists each mistake and its remedy
	o := d.ByKey("key")          // nil for an unknown key; only digests of keys are stored and compared

A Ledger counts the resources that the runs of every organisation use in all
pools. For each placement decision the scheduler creates a Draft of it, checks
with the draft what may still start, and adds what it has chosen. The ledger
itself changes when a run is ordered and when it has certainly ended:

	draft := ledger.Draft(unknown)
	if draft.Admits(name, need, 1) {
		draft.Acquire(name, need)
	}

Two rules limit what may start. The cap is never exceeded, counting runs whose
state is unknown; the only exception is a task that is larger than the cap and
runs alone. And jobs that an organisation submits beyond its rate may wait:
a Rate identifies them, so that they only use capacity that no other job wants.

The package is pure: no I/O, no clock of its own, no goroutines.
*/
package org
