// SPDX-License-Identifier: MIT

/*
Package admission decides whether a new job is taken while its queue has more
work than its pool can do in time.

The leader computes a Notice for its overloaded queues: how long a fresh job
waits at least before its first start, by its size. Entries keep the newest one
in a Board and refuse a job that would be late by more than the error of the
estimates:

	d := notice.Queue("q").Decide(spec, settings, age)

The package knows neither how a Notice is transported nor how a refusal is
answered.
*/
package admission
