// SPDX-License-Identifier: MIT

/*
Package entry assembles and runs the components of a rackstepd process.

	e, err := entry.New(ctx, settings, entry.Options{})
	if err != nil {
		return err
	}
	err = e.Run(ctx)

Run serves until the context ends and then shuts down gracefully: the entry
reports that it is not ready, continues to serve until the load balancer has
noticed, waits for requests in flight, removes itself from the tables and
returns. The components form one run group and stop together.
*/
package entry
