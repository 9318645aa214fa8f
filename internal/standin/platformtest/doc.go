// SPDX-License-Identifier: MIT

/*
Package platformtest is a small fake of the users' platform for tests: its
store, its workers and its machine interface, over any network.

	p := &platformtest.Platform{Listen: n.Listen}
	p.Start(ctx)
	p.AddWorker("m0", "pool-a", 8000, 16000)
	p.Publish(config)

It speaks the published protocol and keeps a history of all runs. Check searches
the history for what must never happen: two runs of a task at a time, a run
after an acknowledged success, or too many starts of a task that crashes its
workers. SetFaults installs a function that selects the fault of each call:
refuse it, execute it without a reply, or execute it late.
*/
package platformtest
