// SPDX-License-Identifier: MIT

/*
Package capacity measures the resource usage of an entry at several site sizes
and fits a linear model to the measurements.

Size.Write writes the settings of a site of separate processes, which
tools/capacity.sh starts. Sample measures the processes over an interval and
returns one Point. FitPoints takes the points of several sizes and returns, for
one figure, a base and a slope for each dimension of the size, with the error of
the fit:

	cost = base + a·entries + b·workers + ...

Counts and ratios are preferred to durations, because the machine that runs the
measurement is shared.
*/
package capacity
