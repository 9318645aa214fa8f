// SPDX-License-Identifier: MIT

/*
Package capacity measures what an entry costs at several sizes and fits slopes
to the figures.

Write lays down the settings of a site of separate processes; a script starts
them. Sample watches the processes for a while and returns one Point. Fit takes
the points of several sizes and returns, for each figure, a base and a slope for
each dimension of the size, with the error of the fit:

	cost = base + a·entries + b·workers + ...

Counts and ratios are preferred to times, because the machine is shared.
*/
package capacity
