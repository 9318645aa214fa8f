// SPDX-License-Identifier: MIT

//go:build review

// Command 8 shows that one lasting job that does not fit keeps all jobs of its service that end by themselves from starting.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/rig"
)

const (
	runners  = 8
	cores    = 16000
	memory   = 32000
	jobs     = 40
	waitTime = 20 * time.Second
	lasting  = "/lookup/00000000000b0001"
	hopeless = "/lookup/00000000000b0002"
)

func main() {
	s := rig.Start(&platformtest.Platform{TaskDuration: func(task string) time.Duration {
		if strings.HasPrefix(task, "00000000000b") {
			return 0 // a lasting one
		}
		return time.Second
	}})
	for i := range runners {
		s.Platform.AddWorker(fmt.Sprintf("m-%d", i), "lookup-svc", cores, memory)
	}
	s.Platform.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{{"Name": "lookup", "Host": "parts.example", "PathPrefix": "/lookup/", "Service": "lookup-svc", "Priority": 0, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600}},
		"Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.StartEntries()
	s.Submit(lasting, map[string]any{"Spec": "listen", "Steps": []map[string]any{{"Count": runners, "Cpu": 6000, "MemMb": 1024, "AntiAffinity": 1, "Daemon": true}}})
	time.Sleep(time.Second)
	job := func(n int) string { return fmt.Sprintf("/lookup/%016x", 0xa0000+n) }
	spec := map[string]any{"Spec": "lookup", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}}
	for n := range jobs / 4 {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if s.Trouble {
		s.Note("disruption: one job that can never be done: eight lasting work items of 12 cores, where each of the 8 runners has 10 of 16 free for good")
		var steps []map[string]any
		for range runners {
			steps = append(steps, map[string]any{"Count": 1, "Cpu": 12000, "MemMb": 1024, "AntiAffinity": 1, "Daemon": true})
		}
		s.Submit(hopeless, map[string]any{"Spec": "listen", "Steps": steps})
	}
	time.Sleep(time.Second)
	for n := jobs / 4; n < jobs; n++ {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	s.Note("the traffic has ended; nothing else happens for %v", waitTime)
	time.Sleep(waitTime)
	lost := 0
	for n := range jobs {
		if s.State(job(n)); len(s.Runs(job(n)[len("/lookup/"):])) == 0 {
			lost++
		}
	}
	s.Note("%d of %d jobs were accepted and never began", lost, jobs)
	if s.Trouble {
		s.Note("afterwards the job that can't be done is cancelled")
		s.Call(0, http.MethodDelete, hopeless, nil)
		time.Sleep(4 * time.Second)
		s.State(job(jobs - 1))
	}
	if lost > 0 {
		s.Note("LOST is broken: nothing of these jobs ran for %v, with 10 of 16 cores free on each of %d runners", waitTime, runners)
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}
