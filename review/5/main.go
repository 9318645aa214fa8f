// SPDX-License-Identifier: MIT

//go:build review

// Command 5 shows that one gang that is too large for its service keeps the service's other jobs from starting.
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
	lookups  = 30
	rebuilds = 40
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
	s.CPU, s.Capacity = func(string) int { return 880 }, cores
	s.StartEntries()
	spec := map[string]any{"Spec": "rebuild", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}}
	var jobs []string
	submit := func(path string) {
		jobs = append(jobs, path)
		s.Submit(path, spec)
		time.Sleep(90 * time.Millisecond)
	}
	for n := range rebuilds / 4 {
		submit(fmt.Sprintf("/rebuild/%016x", 0xa0000+n))
	}
	// For 3 s, one of the first queue's 30 jobs is hopeless.
	const gang = "/lookup/00000000000b0001"
	for n := range lookups {
		if s.Trouble && n == lookups/2 {
			s.Note("disruption: one of %d jobs is hopeless: a gang of 300 work items of half a core, 150 cores, where the service has 128", lookups)
			s.Submit(gang, map[string]any{"Spec": "gang", "Steps": []map[string]any{{"Count": 300, "Cpu": 500, "MemMb": 64, "EstimateMs": 1000, "Gang": true}}})
			time.Sleep(90 * time.Millisecond)
			continue
		}
		submit(fmt.Sprintf("/lookup/%016x", 0xc0000+n))
	}
	for n := rebuilds / 4; n < rebuilds; n++ {
		submit(fmt.Sprintf("/rebuild/%016x", 0xa0000+n))
	}
	s.Note("the traffic has ended; nothing else happens for %v", waitTime)
	time.Sleep(waitTime)
	lost := 0
	for _, path := range jobs {
		state := s.State(path)
		if runs := s.Runs(path[strings.LastIndexByte(path, '/')+1:]); state != "succeeded" && len(runs) == 0 {
			lost++
		}
	}
	running := 0
	for _, x := range s.Platform.Runs() {
		if x.End.IsZero() {
			running++
		}
	}
	s.Note("%d of %d jobs that can be done were accepted and never began; %d work items run on %d runners", lost, len(jobs), running, runners)
	if s.Trouble {
		s.Note("afterwards the hopeless job is cancelled")
		s.Call(0, http.MethodDelete, gang, nil)
		time.Sleep(4 * time.Second)
		s.State(jobs[len(jobs)-1])
	}
	if lost > 0 {
		s.Note("LOST is broken: nothing of these jobs ran for %v although all runners were free", waitTime)
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}
