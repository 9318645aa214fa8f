// SPDX-License-Identifier: MIT

/*
Package route selects the target of each request and limits concurrency.

A Gate controls the access to the targets of one service in one data centre.
It counts the requests in flight on each target and never exceeds a target's
slots:

	lease, err := gate.Acquire(ctx, route.Request{Team: "dealers"})
	if err != nil {
		// Not dispatched. The error gives the reason and when to retry.
	}
	outcome := dispatch(lease.Target)
	lease.Done(outcome)

Requests wait in a bounded queue: urgent before ordinary, and among teams by
weighted fair queueing, so that one team's burst delays only that team. A
request that is not expected to get a slot before its deadline is refused on
arrival.

A target that fails while others succeed is probed with single requests at
increasing intervals and regains its slots step by step. When every target
fails, the Gate treats them alike, because the cause is then unlikely to be
the targets themselves.

Owner selects the entry of a data centre that runs the Gate of a service. All
entries that see the same members select the same owner.
*/
package route
