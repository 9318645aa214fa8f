// SPDX-License-Identifier: MIT

//go:build review

// Command 1 has the leader killed while one runner is at work on more work items than it lists ends at once.
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"rackstep.dev/review/kit"
)

const (
	// The work items of the jobs, of cpu thousandths of a core each, fill one runner of 16 cores.
	jobs, width, cpu = 20, 32, 25
	room             = 16000
	count            = jobs * width
	workTime         = 2500 * time.Millisecond
	// darkTime is how long the leader's machine is without power (for_s of node_kill with power and leader in the site file).
	darkTime = 3500 * time.Millisecond
)

func main() {
	kit.Main(100*time.Second, kit.Options{
		Entries: 4, StatusS: 120, Runners: 2,
		TaskDuration: func(string) time.Duration { return workTime },
	}, run)
}

func name(i int) string { return fmt.Sprintf("00000000000000%02x", i+1) }

func run(c *kit.Cluster) int {
	leader := c.Leader()
	c.Note("%s leads", leader.Name)
	others := c.Others(leader)
	body := fmt.Sprintf(`{"Spec":"x","Steps":[{"Count":%d,"Cpu":%d,"MemMb":32,"EstimateMs":%d}]}`, width, cpu, workTime.Milliseconds())
	for i := range jobs {
		if status, _ := c.Call(others[i%len(others)], "POST", name(i), body); status != 200 {
			return kit.NotRun
		}
	}
	for end := time.Now().Add(10 * time.Second); len(c.Platform.Runs()) < count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Note("only %d of %d work items have begun", len(c.Platform.Runs()), count)
			return kit.NotRun
		}
	}
	c.Note("all %d work items have begun", count)
	time.Sleep(1700 * time.Millisecond)
	if c.Trouble {
		c.Signal(leader, syscall.SIGKILL)
		c.Wait(leader)
		time.Sleep(darkTime)
		if err := c.Start(leader); err != nil { // the platform starts it again
			return kit.NotRun
		}
	}
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(time.Second) {
		ended := 0
		for i := range jobs {
			if status, state := c.Call(others[1], "GET", name(i), ""); status == 200 && strings.Contains(state, "succeeded") {
				ended++
			}
		}
		if ended == jobs {
			break
		}
		if time.Now().After(end) {
			c.Note("only %d of %d jobs have ended", ended, jobs)
			return kit.NotRun
		}
	}
	time.Sleep(6 * time.Second)
	return check(c)
}

// check looks for work items that started after a run of theirs had ended done, where that end was taken note of then or later and the lease of
// the runner had not lapsed in between.
func check(c *kit.Cluster) int {
	most := c.MostAtWork()
	c.Note("at most %d work items were at work on a runner, which has room for %d", most, room/cpu)
	if most > room/cpu {
		return kit.NotRun
	}
	pairs := c.AfterDone()
	tasks := make(map[string]bool)
	for i, p := range pairs {
		tasks[p[0].Task] = true
		if i < 5 {
			c.Note("TWICE: %s ended done in run %d at %.3f s (taken note of at %.3f s) and started again in run %d at %.3f s", p[0].Task, p[0].Number, c.Since(p[0].End), c.Since(p[0].AckedAt), p[1].Number, c.Since(p[1].Start))
		}
	}
	c.Note("TWICE: %d of %d work items", len(tasks), count)
	if len(tasks) > 0 {
		return kit.Broken
	}
	return kit.Held
}
