// SPDX-License-Identifier: MIT

package pool

import "time"

// Workers that end at one instant may have a common cause: they lose power, or the platform restarts them. What ran on them is no suspect then. Tasks that crash their workers
// can end several of them at once too, but only workers on which they run. So the cause is a common one if workers end that run nothing, or nearly all workers of several pools.

const (
	// commonCauseWindow is how far apart the ends of workers with a common cause are seen. A call fails at once when its worker ends.
	commonCauseWindow = 100 * time.Millisecond
	// commonCauseIdle is how many workers without runs have to end.
	commonCauseIdle = 2
	// commonCauseShare is the share of all workers that has to end, in commonCausePools pools or more, if fewer are without runs. If fewer than commonCauseWorkers end, they may
	// be all that are left: tasks of two pools that start in one pass and crash their workers at the same age end two at a time.
	commonCauseShare   = 0.75
	commonCausePools   = 2
	commonCauseWorkers = 4
	// endsKeptFor is for how long the ends of workers are kept: the workers of one cause are known to have ended only when the next incarnation answers, or the machine interface
	// names another one.
	endsKeptFor = 30 * time.Second
)

// workerEnd is the end of a worker's incarnation that nobody had planned.
type workerEnd struct {
	at   time.Time
	pool string
	// idle is set if nothing ran on the worker.
	idle bool
}

// isIdle reports whether nothing runs on the worker as far as this leader knows, whether or not it answers.
func (w *worker) isIdle() bool {
	return len(w.runs) == 0 && len(w.supersededRuns) == 0 && w.unknownRuns == 0 && w.unreadRuns == 0
}

// unplannedEnd returns the end of a worker that has fallen silent, whether or not it is known to have ended, and false if it has not or was to end anyway. A worker that has never answered
// this leader may have ended at any time before.
func (w *worker) unplannedEnd() (workerEnd, bool) {
	if !w.answered || w.silentSince.IsZero() || w.callFailedAt.IsZero() || w.Leaving || w.beingEmptied {
		return workerEnd{}, false
	}
	return workerEnd{at: w.callFailedAt, pool: w.Pool, idle: w.isIdle()}, true
}

// recordEnd keeps the end of a worker that leaves the tables.
func (c *session) recordEnd(w *worker, now time.Time) {
	for len(c.recentEnds) > 0 && now.Sub(c.recentEnds[0].at) > endsKeptFor {
		c.recentEnds = c.recentEnds[1:]
	}
	if end, ok := w.unplannedEnd(); ok {
		c.recentEnds = append(c.recentEnds, end)
	}
}

// endedByCommonCause reports whether a worker ended together with others, for a reason that their runs can't have.
func (c *session) endedByCommonCause(w *worker) bool {
	own, ok := w.unplannedEnd()
	if !ok {
		return false
	}
	if own.at.Sub(c.commonCauseAt).Abs() <= commonCauseWindow {
		return true
	}
	if !c.othersEndedToo(own) {
		return false
	}
	c.commonCauseAt = own.at
	return true
}

// othersEndedToo reports whether the workers that ended together with one were idle, or nearly all. It looks at each worker.
func (c *session) othersEndedToo(own workerEnd) bool {
	ended, idle, survivors := 0, 0, 0
	pools := make(map[string]bool)
	count := func(end workerEnd) {
		if end.at.Sub(own.at).Abs() > commonCauseWindow {
			return
		}
		ended++
		pools[end.pool] = true
		if end.idle {
			idle++
		}
	}
	for _, end := range c.recentEnds {
		count(end)
	}
	for _, o := range c.workers {
		end, ok := o.unplannedEnd()
		switch {
		case ok:
			count(end)
		case o.silentSince.IsZero() && o.listedSince.Before(own.at):
			survivors++
		}
	}
	return idle >= commonCauseIdle || (ended >= commonCauseWorkers && len(pools) >= commonCausePools && float64(ended) >= commonCauseShare*float64(ended+survivors))
}
