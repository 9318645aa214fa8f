// SPDX-License-Identifier: MIT

/*
Package feed is the client of the platform's append-only log service and
defines the interface to the keyed topics of any log service.

A Log appends batches and reads pages:

	l := feed.Log{URL: "http://10.0.0.1:7000", Name: "fleet"}
	_, err := l.Append(ctx, [][]byte{rec})
	if errors.Is(err, feed.ErrUncertain) {
		// The batch may be in the log. Read on and look for the record's ID.
	}

A Reader follows one log from an offset and passes on each record once and in
order. The protocol is described in docs/PROTOCOLS.md.

A Topic keeps the newest value of each key permanently. It is a struct of
functions that an adapter fills in. An append can be made conditional on the
end of the topic and on the writer's epoch, which fences off older writers.
*/
package feed
