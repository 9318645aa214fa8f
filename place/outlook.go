// SPDX-License-Identifier: MIT

package place

import "time"

// Outlook is what estimates tell of a job at one time.
type Outlook struct {
	// Slack is what is left before the job can't be on time any more.
	Slack time.Duration
	// Density is what the job earns for each core-second that it still needs, if it is on time.
	Density float64
}
