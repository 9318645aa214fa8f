// SPDX-License-Identifier: MIT

package standin

import "time"

// Faults selects the platform's faults; the zero value is a platform without faults. PUT /v1/faults takes it as JSON.
type Faults struct {
	// LogDown refuses every append and read.
	LogDown bool
	// AppendsPerSecond limits the appends that all logs together accept in a second; further ones are refused. Unlimited when 0.
	AppendsPerSecond int
	// LogDelay delays every append.
	LogDelay time.Duration
	// DropAppendReplyEvery closes the connection without a reply after every n-th append took effect; never when 0.
	DropAppendReplyEvery int `json:"LoseEvery"`
	// DuplicateEvery adds the records of every n-th append twice; never when 0.
	DuplicateEvery int `json:"TwiceEvery"`
	// RetainedRecords is the number of records that a log retains; all when 0.
	RetainedRecords int `json:"Keep"`
	// ListLag is the age of the instance list that is served.
	ListLag time.Duration
	// ListDown refuses reads of the instance list.
	ListDown bool
	// CommandsDown refuses commands and tasks.
	CommandsDown bool
	// DropCommandReplyEvery closes the connection without a reply after every n-th command or task call took effect; never when 0.
	DropCommandReplyEvery int `json:"LoseCommands"`
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, l := range p.logs {
		l.trim(f.RetainedRecords)
	}
	p.notifyReaders()
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
