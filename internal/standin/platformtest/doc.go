// SPDX-License-Identifier: MIT

/*
Package platformtest is a small stand-in of the users' platform, for tests: its
store, its workers and its machine interface, over any network.

	p := &platformtest.Platform{Network: n}
	p.Start(ctx)
	p.AddWorker("pool-a", 8000, 16000)
	p.Publish(config)

It speaks the published protocol and keeps a history of all runs, in which
Check looks for what must never happen: two runs of a task at a time, or one
after a success that was acknowledged. Faults are function fields that decide
about each call: refuse it, carry it out without an answer, or late.
*/
package platformtest
