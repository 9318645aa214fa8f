// SPDX-License-Identifier: MIT

/*
Package entry puts the parts of one rackstepd together.

	e, err := entry.New(ctx, settings, entry.Options{})
	if err != nil {
		return err
	}
	err = e.Run(ctx)

Run serves until the context ends, and then stops as planned: the entry is no
longer ready, serves on until the balancer has noticed, finishes what is in
flight, leaves the tables and returns. Its parts form one run group and stop
together.
*/
package entry
