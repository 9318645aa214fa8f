// SPDX-License-Identifier: MIT

//go:build review

// Command 8 shows that a job is failed before its attempts are used up when its route leaves the configuration for some seconds.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/rig"
)

const (
	runners  = 8
	attempts = 4
	jobCount = 20
	// failing is the one work item that fails. Its first runs, failures of them, fail by themselves before one is done.
	failing  = "00000000000a0007.0.0.1"
	failures = 3
)

func main() {
	var mu sync.Mutex
	failed := make(map[string]int)
	s := rig.Start(&platformtest.Platform{
		TaskDuration: func(string) time.Duration { return time.Second },
		RunFails: func(task, _ string) bool {
			mu.Lock()
			defer mu.Unlock()
			if task != failing || failed[task] == failures {
				return false
			}
			failed[task]++
			return true
		},
	})
	for i := range runners {
		s.Platform.AddWorker(fmt.Sprintf("m-%d", i), "lookup-svc", 16000, 32000)
	}
	publish := func(version int, lookup bool) {
		routes := []map[string]any{{"Name": "other", "Host": "parts.example", "PathPrefix": "/other/", "Service": "lookup-svc", "Priority": 0, "Attempts": attempts, "Stretch": 2, "TargetLatencyMs": 600}}
		if lookup {
			routes = append(routes, map[string]any{"Name": "part-lookup", "Host": "parts.example", "PathPrefix": "/lookup/", "Service": "lookup-svc", "Priority": 0, "Attempts": attempts, "Stretch": 2, "TargetLatencyMs": 600})
		}
		s.Note("the operator publishes version %d; it has the route part-lookup: %t", version, lookup)
		s.Platform.Publish(map[string]any{"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}}, "Limits": map[string]any{"MaxBodyBytes": 262144}})
	}
	s.CPU, s.Capacity = func(string) int { return 880 }, 16000
	publish(3, true)
	s.StartEntries()
	var jobs []string
	for n := range jobCount {
		jobs = append(jobs, fmt.Sprintf("%016x", 0xa0000+n))
		s.Submit("/lookup/"+jobs[n], map[string]any{"Spec": "lookup", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}})
	}
	time.Sleep(500 * time.Millisecond)
	if s.Trouble {
		publish(7, false)
		time.Sleep(6 * time.Second)
		publish(8, true)
	}
	time.Sleep(14 * time.Second)
	broken := 0
	for _, id := range jobs {
		state := s.State("/lookup/" + id)
		worst := 0
		byTask := make(map[string]int)
		for _, x := range s.Runs(id) {
			if x.Outcome == "failed" {
				byTask[x.Task]++
				worst = max(worst, byTask[x.Task])
			}
		}
		s.Note("job %s is %q; at most %d runs of one of its work items have failed, and the route allows %d", id, state, worst, attempts)
		if state == "failed" && worst < attempts {
			broken++
		}
	}
	s.Call(0, http.MethodGet, "/lookup/", nil)
	if broken > 0 {
		s.Note("LOST is broken: %d job(s) appear as failed without cause", broken)
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}
