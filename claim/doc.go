// SPDX-License-Identifier: MIT

/*
Package claim makes non-repeatable requests run at most once.

Such a request has an idempotency key and a time after which it must not run.
Before an entry dispatches the request, it claims the key in a log that all
entries read. The first claim in the order of the log wins, and all entries
reach the same verdict because they read the same order:

	verdict, err := registry.Claim(ctx, claim.Claim{Key: "team/42", Token: "e1-7", NotAfter: t})
	if err != nil {
		// This entry must not dispatch the request; the caller gets "not run".
	}
	if verdict.Kind != claim.Won {
		// Another attempt holds the key; the caller gets what is known about it.
	}

The outcome of a claim that is never completed stays unknown, and its request
is never run again. A holder that has not dispatched the request may release
its claim. A claim is dropped some time after its NotAfter. A dropped key can't
be won again, because a claim whose NotAfter has passed in the log's time is
refused.

The claims of many requests share one append (group commit), because the log
accepts only several hundred appends a second from all entries together.
*/
package claim
