// SPDX-License-Identifier: MIT

/*
Package entryproc runs entries as operating system processes for tests that
need the real programs: it builds rackstepd, starts and stops processes, reads
their memory and open descriptors, and forwards their connections to the store
through a proxy that injects faults.

	program, err := entryproc.Build(dir)
	p := &entryproc.Process{Program: program, Args: []string{"front"}, Log: log}
	err = p.Start()
	defer p.Stop(syscall.SIGKILL)
	u, err := p.Usage()

A Process may be started again after it has been stopped; its log is appended
to. Usage reads Linux's /proc.
*/
package entryproc
