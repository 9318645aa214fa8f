// SPDX-License-Identifier: MIT

/*
Package standin takes the place of what the platform gives: the log service,
the instance list, commands, tasks, and the targets that run on instances.

It is small and keeps everything in memory. It speaks the protocols of
docs/PROTOCOLS.md over HTTP, so that it works in one process and as a process
of its own. Each fault of the brief is a field of Faults or of a Target that
may be changed while it runs:

	p := standin.New()
	p.SetFaults(standin.Faults{LogDown: true})

It also counts what must never happen, such as a request that reaches an
instance during its reboot, so that tests and 'rackstep try' can tell.
*/
package standin
