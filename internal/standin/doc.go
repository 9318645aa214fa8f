// SPDX-License-Identifier: MIT

/*
Package standin is an in-memory fake of the platform: the log service, the
instance list, commands, tasks, and the targets that run on instances.

It speaks the protocols of docs/PROTOCOLS.md over HTTP, so that it runs inside
a test or as a separate process. Each fault that the platform can show is a
field of Faults or TargetFaults, which may be changed while it runs:

	p := standin.New()
	p.SetFaults(standin.Faults{LogDown: true})

It also counts what must never happen, such as a request that reaches an
instance during its reboot, so that tests and 'rackstep try' can check it.
*/
package standin
