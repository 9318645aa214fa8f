// SPDX-License-Identifier: MIT

package fleet

// usage is what jobs hold; it is derived from the jobs and kept beside them so that nobody has to add it up.
type usage struct {
	cores, memoryMB, jobs int
}

func (u usage) add(x Use, n int) usage {
	return usage{u.cores + n*x.Cores, u.memoryMB + n*x.MemoryMB, u.jobs + n}
}

// put gives the job its state and instance and keeps the usage right; every change of either goes through it.
func (t *Tables) put(j *Job, state JobState, instance string) {
	t.charge(j, -1)
	if state.Ended() && !j.State.Ended() {
		t.ended++
	}
	j.State, j.Instance = state, instance
	t.charge(j, 1)
}

// charge counts the job n times to its instance and team if it holds anything.
func (t *Tables) charge(j *Job, n int) {
	if !j.State.Held() {
		return
	}
	if t.onInstance == nil {
		t.onInstance = make(map[string]usage)
	}
	t.onInstance[j.Instance] = t.onInstance[j.Instance].add(j.Charged(), n)
	if n > 0 {
		t.teams.Acquire(j.Team, j.Charged().need())
	} else {
		t.teams.Release(j.Team, j.Charged().need())
	}
}

// recharge changes what the job is charged with and keeps the usage right.
func (t *Tables) recharge(j *Job, change func()) {
	t.charge(j, -1)
	change()
	t.charge(j, 1)
}

// Held returns the cores and MB that jobs hold on the instance; more than it has when they use more than was known.
func (t *Tables) Held(instance string) (cores, memoryMB int) {
	u := t.onInstance[instance]
	return u.cores, u.memoryMB
}

// TeamCores returns the cores that the team's jobs hold.
func (t *Tables) TeamCores(team string) int {
	held, _ := t.teams.Held(team)
	return held.MilliCPU / milliCores
}

// JobsOn returns the number of jobs that hold something on the instance.
func (t *Tables) JobsOn(instance string) int { return t.onInstance[instance].jobs }
