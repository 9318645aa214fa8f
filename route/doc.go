// SPDX-License-Identifier: MIT

/*
Package route decides which target runs a request, and when.

A Gate stands before the targets of one service in one data centre. It knows
how many requests each target runs and never gives one more than its slots:

	lease, err := gate.Acquire(ctx, route.Request{Team: "dealers"})
	if err != nil {
		// Not dispatched. The error says why and when to come back.
	}
	outcome := dispatch(lease.Target)
	lease.Done(outcome)

Requests wait in a bounded queue: urgent before ordinary, and among teams by
their shares, so that one team's burst delays only that team. Who can't get a
slot before its deadline is refused on arrival.

A target that fails while others succeed is tried with single requests, at
growing intervals, and gets its slots back step by step. When no target
succeeds the Gate makes no difference between them, because then the targets
are not what differs.

Owner says which entry of a data centre runs the Gate of a service. All
entries that see the same members name the same owner.
*/
package route
