// SPDX-License-Identifier: MIT

package fleet

// usage is the resources held by a set of jobs. It is derived from the jobs and maintained incrementally.
type usage struct {
	cores, memoryMB, jobs int
}

func (u usage) add(x Use, n int) usage {
	return usage{u.cores + n*x.Cores, u.memoryMB + n*x.MemoryMB, u.jobs + n}
}

// setJobState sets the job's state and instance and updates the usage. All changes of either must go through it.
func (t *Tables) setJobState(j *Job, state JobState, instance string) {
	t.charge(j, -1)
	if state.Ended() && !j.State.Ended() {
		t.endedJobs++
	}
	j.State, j.Instance = state, instance
	t.charge(j, 1)
}

// charge adds the job's resources to the usage of its instance and team when n is 1 and subtracts them when n is -1, if the job
// holds any.
func (t *Tables) charge(j *Job, n int) {
	if !j.State.Held() {
		return
	}
	if t.usageByInstance == nil {
		t.usageByInstance = make(map[string]usage)
	}
	t.usageByInstance[j.Instance] = t.usageByInstance[j.Instance].add(j.Charged(), n)
	if n > 0 {
		t.teamUsage.Acquire(j.Team, j.Charged().need())
	} else {
		t.teamUsage.Release(j.Team, j.Charged().need())
	}
}

// recharge calls change, which may alter what the job is charged with, and updates the usage.
func (t *Tables) recharge(j *Job, change func()) {
	t.charge(j, -1)
	change()
	t.charge(j, 1)
}

// Held returns the cores and MB that jobs hold on the instance. They can exceed what the instance has when measured usage exceeds
// what was known at the start.
func (t *Tables) Held(instance string) (cores, memoryMB int) {
	u := t.usageByInstance[instance]
	return u.cores, u.memoryMB
}

// TeamCores returns the cores that the team's jobs hold.
func (t *Tables) TeamCores(team string) int {
	held, _ := t.teamUsage.Held(team)
	return held.MilliCPU / milliCPUPerCore
}

// JobsOn returns the number of jobs that hold resources on the instance.
func (t *Tables) JobsOn(instance string) int { return t.usageByInstance[instance].jobs }
