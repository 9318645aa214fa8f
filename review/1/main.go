// SPDX-License-Identifier: MIT

//go:build review

// Command 1 has the leader killed while one runner is at work on more work items than it lists ends at once.
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/kit"
)

const (
	// The work items of the jobs, of cpu thousandths of a core each, fill one runner of 16 cores.
	jobs, width, cpu = 20, 32, 25
	count            = jobs * width
	workTime         = 2500 * time.Millisecond
	// darkTime is how long the leader's machine is without power (for_s of node_kill with power and leader in the site file).
	darkTime = 3500 * time.Millisecond
)

func main() {
	kit.Main(100*time.Second, kit.Options{
		Entries: 4, StatusS: 120, Runners: map[string]int{"lookup-svc": 2},
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
		if status, _ := c.Call(others[i%len(others)], "POST", "lookup-svc", name(i), body); status != 200 {
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
			if status, state := c.Call(others[1], "GET", "lookup-svc", name(i), ""); status == 200 && strings.Contains(state, "succeeded") {
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

// check looks for work items that started after a run of theirs had ended done, where that end was taken note of (acknowledged to its runner), then
// or later.
func check(c *kit.Cluster) int {
	byTask := make(map[string][]platformtest.Run)
	for _, x := range c.Platform.Runs() {
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	twice := 0
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.Outcome == "done" && a.Acked && b.Start.After(a.End) {
					twice++
					if twice <= 5 {
						c.Note("TWICE: %s ended done in run %d at %.3f s (taken note of at %.3f s) and started again in run %d at %.3f s", task, a.Number, c.Since(a.End), c.Since(a.AckedAt), b.Number, c.Since(b.Start))
					}
				}
			}
		}
	}
	c.Note("TWICE: %d of %d work items", twice, len(byTask))
	if twice > 0 {
		return kit.Broken
	}
	return kit.Held
}
