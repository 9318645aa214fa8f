// SPDX-License-Identifier: MIT

/*
Package claim makes a request that must not be repeated run at most once.

Such a request has a key and a time after which it must not run. Before an
entry dispatches it, the entry claims the key in a log that all entries read.
The first claim in the log's order wins; every other entry reads the same
order and sees that it lost:

	verdict, err := book.Claim(ctx, claim.Claim{Key: "team/42", Token: "e1-7", NotAfter: t})
	if err != nil {
		// Never dispatched by us: the caller is told "not run".
	}
	if verdict.Kind != claim.Won {
		// Somebody else holds the key: the caller is told what is known of it.
	}

A claim that is never completed stays unknown; it is never run again. A holder
that has not dispatched may release its claim. Claims are dropped some time
after their NotAfter, and the fold refuses any claim whose NotAfter has passed
in the log's own time, so a dropped key can't be won again.

Claims of many requests share one append (group commit), because the log takes
only several hundred appends a second for everybody.
*/
package claim
