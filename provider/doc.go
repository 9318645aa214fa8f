// SPDX-License-Identifier: MIT

/*
Package provider is the client of the platform interface that lists instances
and runs commands and tasks on them.

	p := provider.Client{URL: "http://10.0.0.1:7000"}
	list, err := p.Instances(ctx, "")

Every call that changes something carries an ID chosen by the caller, so it
can be repeated safely if the response is lost. A command carries a time after
which the platform must not begin it. Stopping a task that has not started makes
its ID void for good, which proves that it never runs.
*/
package provider
