// SPDX-License-Identifier: MIT

//go:build review

// Command 2 has the store silent when ended jobs are dropped from it. Later the leader is stopped as planned.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/kit"
)

const (
	jobs     = 20
	workTime = 300 * time.Millisecond
	// forgetAfter is how long after status_s the system drops an ended job (pool/session.go).
	forgetAfter = 30 * time.Second
	// outage is how long the store is silent (for_s of platform_down, busy, in the site file), and before how long of it lies before the jobs are
	// dropped.
	outage, before = 4200 * time.Millisecond, 2 * time.Second
)

func main() {
	status := 45.0
	if s, err := strconv.ParseFloat(os.Getenv("STATUS_S"), 64); err == nil {
		status = s
	}
	kit.Main(time.Duration(status)*time.Second+75*time.Second, kit.Options{
		Entries: 4, StatusS: status, Runners: map[string]int{"lookup-svc": 3},
		TaskDuration: func(string) time.Duration { return workTime },
	}, func(c *kit.Cluster) int { return run(c, time.Duration(status*float64(time.Second))) })
}

func name(i int) string { return fmt.Sprintf("00000000000000%02x", i+1) }

func run(c *kit.Cluster, status time.Duration) int {
	leader := c.Leader()
	c.Note("%s leads", leader.Name)
	others := c.Others(leader)
	for i := range jobs {
		if s, _ := c.Call(others[i%len(others)], "POST", "lookup-svc", name(i), `{"Spec":"x","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300}]}`); s != 200 {
			return kit.NotRun
		}
	}
	succeeded := make(map[string]bool)
	for end := time.Now().Add(8 * time.Second); len(succeeded) < jobs; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			c.Note("only %d jobs were shown as succeeded", len(succeeded))
			return kit.NotRun
		}
		for i := range jobs {
			if succeeded[name(i)] {
				continue
			}
			if s, state := c.Call(others[i%len(others)], "GET", "lookup-svc", name(i), ""); s == 200 && strings.Contains(state, "succeeded") {
				succeeded[name(i)] = true
			}
		}
	}
	shown := time.Now()
	c.Note("all jobs were shown as succeeded")
	ended := c.Platform.Runs()[0].End
	time.Sleep(time.Until(ended.Add(status + forgetAfter - before)))
	if c.Trouble {
		c.Note("the store is silent")
		for _, e := range c.Entries {
			e.Store.SetSilent(true)
		}
	}
	time.Sleep(outage)
	if c.Trouble {
		for _, e := range c.Entries {
			e.Store.SetSilent(false)
		}
		c.Note("the store answers again")
	}
	time.Sleep(8 * time.Second)
	if leader = c.Leader(); leader == nil {
		c.Note("nobody leads")
		return kit.NotRun
	}
	c.Signal(leader, syscall.SIGTERM) // planned, with and without the outage
	c.Wait(leader)
	if err := c.Start(leader); err != nil {
		return kit.NotRun
	}
	time.Sleep(12 * time.Second)
	return check(c, succeeded, shown)
}

// check looks for work items that were started over a second after their end was taken note of and their job was shown as succeeded.
func check(c *kit.Cluster, succeeded map[string]bool, shown time.Time) int {
	byTask := make(map[string][]platformtest.Run)
	for _, x := range c.Platform.Runs() {
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	twice := 0
	for task, runs := range byTask {
		job, _, _ := strings.Cut(task, ".")
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if succeeded[job] && a.Outcome == "done" && a.Acked && b.Start.After(shown.Add(time.Second)) && b.Start.After(a.AckedAt.Add(time.Second)) {
					twice++
					c.Note("TWICE: %s ended done in run %d at %.3f s (taken note of at %.3f s), its job was shown as succeeded by %.3f s, and it started again in run %d at %.3f s", task, a.Number, c.Since(a.End), c.Since(a.AckedAt), c.Since(shown), b.Number, c.Since(b.Start))
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
