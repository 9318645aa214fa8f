// SPDX-License-Identifier: MIT

/*
Package org knows the organisations that share a deployment: who may ask, and
what each may hold.

An Organisation has keys, a weight and a cap. A Directory is one version of
all of them; it is made once, checked whole, and never changes, so that a
request is judged by one version from begin to end:

	d, err := org.NewDirectory(rows)
	if err != nil { ... }                  // says what is wrong and what to do
	who := d.Who("key")                    // nil when the key is nobody's; keys are kept and compared as digests

A Ledger counts what every organisation has running, on all pools together.
Whoever places tasks makes a Draft of it, asks the draft what may still start,
and takes what it has chosen; the ledger itself changes when a run is ordered
and when it has surely ended:

	draft := ledger.Draft(unknown)
	if draft.Admits(name, need, 1) {
		draft.Take(name, need, 1)
	}

Two rules bound what may start. The cap is never passed, whatever is under way
or in doubt, but by a task that is larger than its cap and runs alone. And what
an organisation sends beyond its rate is nobody's loss when it waits: a Rate
tells which jobs those are, so that they run in room that no other job wants.

The package is pure: no I/O, no clock of its own, no goroutines.
*/
package org
