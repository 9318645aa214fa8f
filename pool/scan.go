// SPDX-License-Identifier: MIT

package pool

import "time"

const (
	// scanPauseFactor is the pause after a scan over all instances relative to its duration: scans take at most a tenth
	// of the processor time, on any entry and with any fleet size.
	scanPauseFactor = 9
	// maxScanPause bounds that pause: pools get no instances and waves do not advance without a scan.
	maxScanPause = time.Second
)

// scanPacer spaces scans over all instances. With its zero value a scan is due.
type scanPacer struct{ next time.Time }

// due reports whether the next scan may begin.
func (x *scanPacer) due(now time.Time) bool { return !now.Before(x.next) }

// end records the begin and the end of a scan.
func (x *scanPacer) end(began, ended time.Time) {
	x.next = ended.Add(pauseAfter(ended.Sub(began), scanPauseFactor, maxScanPause))
}
