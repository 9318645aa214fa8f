// SPDX-License-Identifier: MIT

package standin

import "time"

// Faults are the platform's switches; the zero value is a sound platform.
type Faults struct {
	// LogDown refuses every append and read.
	LogDown bool
	// AppendsPerSecond is the number of appends that all logs take in a second; those beyond are refused. Any when 0.
	AppendsPerSecond int
	// LogDelay delays every append.
	LogDelay time.Duration
	// LoseEvery breaks the connection after every n-th append took effect; never when 0.
	LoseEvery int
	// TwiceEvery adds every n-th append's records two times; never when 0.
	TwiceEvery int
	// Keep is the number of records that a log keeps; all when 0.
	Keep int
	// ListLag is how old the instance list is.
	ListLag time.Duration
	// ListDown refuses reads of the list.
	ListDown bool
	// CommandsDown refuses commands and tasks.
	CommandsDown bool
	// LoseCommands breaks the connection after every n-th command or task call took effect; never when 0.
	LoseCommands int
}

// SetFaults replaces the switches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, l := range p.logs {
		l.trim(f.Keep)
	}
	p.wake()
}

// Faults returns the switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
