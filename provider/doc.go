// SPDX-License-Identifier: MIT

/*
Package provider is the client of the platform's instance list, commands and
tasks.

	p := provider.Client{URL: "http://10.0.0.1:7000"}
	list, err := p.Instances(ctx)

Every call that changes something names an ID that the caller chose, so that
it can be repeated after a lost answer. A command carries a time after which
the platform must not begin it. Voiding a task that has not begun makes its ID
unusable for ever; that is the proof that it did not run.
*/
package provider
