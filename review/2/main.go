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

	"rackstep.dev/review/kit"
)

const (
	jobs     = 20
	workTime = 300 * time.Millisecond
	// forgetAfter is how long after status_s the system drops an ended job (pool/session.go).
	forgetAfter = 30 * time.Second
	// contact is ContactMs of the settings.
	contact = 3 * time.Second
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
		Entries: 4, StatusS: status, Runners: 3,
		TaskDuration: func(string) time.Duration { return workTime },
	}, func(c *kit.Cluster) int { return run(c, time.Duration(status*float64(time.Second))) })
}

func name(i int) string { return fmt.Sprintf("00000000000000%02x", i+1) }

func run(c *kit.Cluster, status time.Duration) int {
	leader := c.Leader()
	c.Note("%s leads", leader.Name)
	others := c.Others(leader)
	for i := range jobs {
		if s, _ := c.Call(others[i%len(others)], "POST", name(i), `{"Spec":"x","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":300}]}`); s != 200 {
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
			if s, state := c.Call(others[i%len(others)], "GET", name(i), ""); s == 200 && strings.Contains(state, "succeeded") {
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
	calm := time.Now()
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
	restarted := time.Now()
	time.Sleep(12 * time.Second)
	if next := c.Leader(); next == nil || next == leader {
		c.Note("the stopped entry leads again, or nobody does")
		return kit.NotRun
	}
	return check(c, succeeded, shown, calm, restarted)
}

// check looks for work items that a machine in touch started over a second after their end was taken note of and their job was shown as
// succeeded.
//
// The starting machine has to be in touch: a start counts only later than contact after the outage, and before the entry that was stopped runs
// again. That entry has given up the lead at the signal, so that the order is another one's, which was neither stopped nor started.
func check(c *kit.Cluster, succeeded map[string]bool, shown, calm, restarted time.Time) int {
	tasks := make(map[string]bool)
	for _, p := range c.AfterDone() {
		a, b := p[0], p[1]
		job, _, _ := strings.Cut(a.Task, ".")
		if !succeeded[job] || !b.Start.After(shown.Add(time.Second)) || !b.Start.After(a.AckedAt.Add(time.Second)) || !b.Start.After(calm.Add(contact)) || b.Start.After(restarted) {
			continue
		}
		tasks[a.Task] = true
		c.Note("TWICE: %s ended done in run %d at %.3f s (taken note of at %.3f s), its job was shown as succeeded by %.3f s, and it started again in run %d at %.3f s", a.Task, a.Number, c.Since(a.End), c.Since(a.AckedAt), c.Since(shown), b.Number, c.Since(b.Start))
	}
	c.Note("TWICE: %d of %d work items", len(tasks), jobs)
	if len(tasks) > 0 {
		return kit.Broken
	}
	return kit.Held
}
