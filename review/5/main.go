// SPDX-License-Identifier: MIT

//go:build review

// Command 5 shows that one gang that is too large for its service keeps the service's other jobs from starting.
package main

import (
	"fmt"
	"net/http"
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
)

func main() {
	s := rig.Start(&platformtest.Platform{TaskDuration: func(string) time.Duration { return time.Second }})
	for i := range runners {
		s.Platform.AddWorker(fmt.Sprintf("m-%d", i), "lookup-svc", cores, memory)
	}
	s.Platform.Publish(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{
			{"Name": "part-lookup", "Host": "parts.example", "PathPrefix": "/lookup/", "Service": "lookup-svc", "Priority": 0, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600},
			{"Name": "rebuild", "Host": "parts.example", "PathPrefix": "/rebuild/", "Service": "lookup-svc", "Priority": 1, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600},
		},
		"Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.StartEntries()
	job := func(n int) string { return fmt.Sprintf("/rebuild/%016x", 0xa0000+n) }
	spec := map[string]any{"Spec": "rebuild", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}}
	for n := range jobs / 4 {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	const gang = "/lookup/00000000000b0001"
	if s.Trouble {
		s.Note("disruption: one hopeless job: a gang of 300 work items of half a core, 150 cores, where the service has 128")
		s.Submit(gang, map[string]any{"Spec": "gang", "Steps": []map[string]any{{"Count": 300, "Cpu": 500, "MemMb": 64, "EstimateMs": 1000, "Gang": true}}})
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
		state := s.State(job(n))
		if runs := s.Runs(job(n)[len("/rebuild/"):]); state != "succeeded" && len(runs) == 0 {
			lost++
		}
	}
	running := 0
	for _, x := range s.Platform.Runs() {
		if x.End.IsZero() {
			running++
		}
	}
	s.Note("%d of %d jobs were accepted and never began; %d work items run on %d runners", lost, jobs, running, runners)
	if s.Trouble {
		s.Note("afterwards the hopeless job is cancelled")
		s.Call(0, http.MethodDelete, gang, nil)
		time.Sleep(4 * time.Second)
		s.State(job(jobs - 1))
	}
	if lost > 0 {
		s.Note("LOST is broken: nothing of these jobs ran for %v although all runners were free", waitTime)
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}
