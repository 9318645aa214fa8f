// SPDX-License-Identifier: MIT

//go:build review

// Command 2 has the store turn the leader's machine away while a client hands a job in at another entry and cancels it.
package main

import (
	"fmt"
	"strings"
	"time"

	"rackstep.dev/review/kit"
)

const (
	jobs = 5
	// outage is how long the store is silent to the leader's machine (for_s of platform_down, nodes leader silent, in the site file).
	outage = 7 * time.Second
	// cancelTime and stopTime are cancel_ms and StopMs of the settings, contact is ContactMs.
	cancelTime, stopTime, contact = 3 * time.Second, 400 * time.Millisecond, 3 * time.Second
)

func main() {
	kit.Main(100*time.Second, kit.Options{
		Entries: 4, StatusS: 120, Runners: map[string]int{"lookup-svc": 3},
		TaskDuration: func(string) time.Duration { return 0 }, // work items that last
	}, run)
}

func name(i int) string { return fmt.Sprintf("00000000000000%02x", i+1) }

func run(c *kit.Cluster) int {
	leader := c.Leader()
	c.Note("%s leads", leader.Name)
	others := c.Others(leader)
	time.Sleep(3 * time.Second)
	begun := time.Now()
	if c.Trouble {
		c.Note("the store is silent to %s", leader.Name)
		leader.Store.SetSilent(true)
	}
	time.Sleep(50 * time.Millisecond)
	cancelled := make(map[string]time.Time)
	for i := range jobs {
		e := others[i%len(others)]
		if s, _ := c.Call(e, "POST", "lookup-svc", name(i), `{"Spec":"x","Steps":[{"Count":2,"Cpu":500,"MemMb":256,"Daemon":true,"Image":"a"}]}`); s != 200 {
			continue
		}
		time.Sleep(100 * time.Millisecond)
		for range 3 { // as the pages say, a client asks again after silence, 502, 503 or 504
			if s, _ := c.Call(e, "DELETE", "lookup-svc", name(i), ""); s/100 == 2 || s == 410 {
				cancelled[name(i)] = time.Now()
				break
			}
			time.Sleep(time.Second)
		}
	}
	if len(cancelled) == 0 {
		c.Note("no cancel was answered")
		return kit.NotRun
	}
	if c.Trouble {
		time.Sleep(time.Until(begun.Add(outage)))
		leader.Store.SetSilent(false)
		c.Note("the store answers %s again", leader.Name)
	}
	calm := time.Now().Add(contact)
	time.Sleep(contact + cancelTime + stopTime + 6*time.Second)
	for id := range cancelled {
		c.Call(others[0], "GET", "lookup-svc", id, "")
	}
	return check(c, cancelled, calm)
}

// check looks for work items of cancelled jobs that run on more than cancel_ms and StopMs after the cancel was acknowledged and after the disruption.
func check(c *kit.Cluster, cancelled map[string]time.Time, calm time.Time) int {
	now, broken := time.Now(), 0
	for _, x := range c.Platform.Runs() {
		id, _, _ := strings.Cut(x.Task, ".")
		at, ok := cancelled[id]
		if !ok {
			continue
		}
		end := x.End
		if end.IsZero() {
			end = now
		}
		due := at
		if calm.After(due) {
			due = calm
		}
		if late := end.Sub(due.Add(cancelTime + stopTime)); late > 0 {
			broken++
			c.Note("UNASKED: the cancel of %s was acknowledged at %.3f s, and %s run %d goes on at %.3f s (started at %.3f s)", id, c.Since(at), x.Task, x.Number, c.Since(end), c.Since(x.Start))
		}
	}
	c.Note("UNASKED: %d work items of %d cancelled jobs", broken, len(cancelled))
	if broken > 0 {
		return kit.Broken
	}
	return kit.Held
}
