// SPDX-License-Identifier: MIT

/*
Package feed is the client of the platform's append-only log service, and the
seam through which the product uses keyed topics of any log service.

A Log appends batches and reads pages:

	l := feed.Log{URL: "http://10.0.0.1:7000", Name: "fleet"}
	_, err := l.Append(ctx, [][]byte{rec})
	if errors.Is(err, feed.ErrUncertain) {
		// The batch may be in the log. Read on and look for the record's ID.
	}

A Reader follows one log from an offset and hands every record on in order,
each once. The protocol is in docs/PROTOCOLS.md.

A Topic holds the newest value of each key for good. It is a struct of
functions that an adapter fills in; its appends can be bound to the topic's
end and to a writer's epoch, which shuts out older writers.
*/
package feed
