// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// milliCores is how many thousandths a core has.
const milliCores = 1000

// Organisation returns the team as what it is to everything that admits callers and shares instances.
func (t *Team) Organisation() org.Organisation {
	o := org.Organisation{Name: t.Name, Weight: float64(max(1, t.Share)), Cap: job.Need{MilliCPU: t.JobCores * milliCores}}
	if d, err := org.ParseDigest(t.TokenHash); err == nil { // a configuration with another hash is refused
		o.Keys = []org.Digest{d}
	}
	return o
}

// Organisations returns the directory of the teams. Of teams that have one token the last has it.
func (c *Configuration) Organisations() (*org.Directory, error) {
	rows := make([]org.Organisation, len(c.Teams))
	owner := make(map[org.Digest]int, len(c.Teams))
	for i := range c.Teams {
		rows[i] = c.Teams[i].Organisation()
		for _, k := range rows[i].Keys {
			if other, ok := owner[k]; ok {
				rows[other].Keys = nil
			}
			owner[k] = i
		}
	}
	d, err := org.NewDirectory(rows)
	if err != nil {
		return nil, fmt.Errorf("teams: %w", err)
	}
	return d, nil
}

// need is what a job is charged with.
func (u Use) need() job.Need { return job.Need{MilliCPU: u.Cores * milliCores, MemoryMB: u.MemoryMB} }

// MayHold says whether the team may hold that many cores more for its jobs.
func (t *Tables) MayHold(team *Team, cores int) bool {
	if team == nil {
		return true
	}
	held, _ := t.teams.Held(team.Name)
	o := team.Organisation()
	return o.WithinCap(job.Need{MilliCPU: held.MilliCPU + cores*milliCores})
}
