// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"

	"rackstep.dev/job"
	"rackstep.dev/org"
)

// milliCPUPerCore converts cores to thousandths of a core.
const milliCPUPerCore = 1000

// Organisation returns the organisation by which the team's callers are admitted and its share of instances is determined.
func (t *Team) Organisation() org.Organisation {
	o := org.Organisation{Name: t.Name, Weight: float64(max(1, t.Share)), Cap: job.Need{MilliCPU: t.JobCores * milliCPUPerCore}}
	if d, err := org.ParseDigest(t.TokenHash); err == nil { // Check refuses configurations with an invalid hash
		o.Keys = []org.Digest{d}
	}
	return o
}

// Organisations returns the directory of the teams. If several teams have the same token, it belongs to the last one.
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

// need returns u as a job.Need.
func (u Use) need() job.Need {
	return job.Need{MilliCPU: u.Cores * milliCPUPerCore, MemoryMB: u.MemoryMB}
}

// MayHold reports whether the team's quota allows its jobs to hold that many more cores.
func (t *Tables) MayHold(team *Team, cores int) bool {
	if team == nil {
		return true
	}
	held, _ := t.teamUsage.Held(team.Name)
	o := team.Organisation()
	return o.WithinCap(job.Need{MilliCPU: held.MilliCPU + cores*milliCPUPerCore})
}
