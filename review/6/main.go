// SPDX-License-Identifier: MIT

//go:build review

// Command 6 shows that lasting work items that fail while their service is due for upkeep stop the service for good.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/rig"
)

const (
	runners = 8
	cores   = 16000
	memory  = 32000
	jobs    = 10
	// lasting is a job of two work items a runner, of which two may be away at once. The other service has one item a runner.
	lasting      = "00000000000b0001"
	otherLasting = "00000000000b0002"
	// failing are the work items that fail once each, failsAfter their start. They are on two runners.
	failingA   = lasting + ".0.0.5"
	failingB   = lasting + ".0.0.9"
	failsAfter = 18 * time.Second
	waveAfter  = 5 * time.Second
	waveTime   = 26
	most       = 4
	waitTime   = 20 * time.Second
)

func main() {
	var mu sync.Mutex
	failed := make(map[string]bool)
	var s *rig.Site
	p := &platformtest.Platform{
		TaskDuration: func(task string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case isFailing(task) && s.Trouble && !failed[task]:
				return failsAfter
			case strings.HasPrefix(task, "00000000000b"):
				return 0
			}
			return time.Second
		},
		RunFails: func(task, _ string) bool {
			mu.Lock()
			defer mu.Unlock()
			failed[task] = true
			return isFailing(task)
		},
	}
	s = rig.Start(p)
	s.CPU, s.Capacity = func(task string) int {
		if strings.HasPrefix(task, "00000000000b") {
			return 1000
		}
		return 880
	}, cores
	var due []string
	for i := range runners {
		due = append(due, fmt.Sprintf("m-%d", i))
		p.AddWorker(due[i], "lookup-svc", cores, memory)
		p.AddWorker(fmt.Sprintf("n-%d", i), "chain-svc", cores, memory)
	}
	route := func(name, service string) map[string]any {
		return map[string]any{"Name": name, "Host": "parts.example", "PathPrefix": "/" + name + "/", "Service": service, "Priority": 0, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600}
	}
	p.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{route("lookup", "lookup-svc"), route("chain", "chain-svc")},
		"Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}, {"Name": "chain-svc", "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.StartEntries()
	step := func(count, each, miss int) map[string]any {
		return map[string]any{"Spec": "listen", "Steps": []map[string]any{{"Count": count, "Cpu": 1000, "MemMb": 256, "AntiAffinity": each, "Daemon": true, "MayMiss": miss}}}
	}
	s.Submit("/lookup/"+lasting, step(2*runners, 2, 2))
	s.Submit("/chain/"+otherLasting, step(runners, 1, 1))
	time.Sleep(waveAfter)
	wave, err := json.Marshal(map[string]any{"Wave": 1, "Machines": due, "DurationS": waveTime, "Cap": most})
	if err != nil {
		s.Fail("wave: %v", err)
	}
	s.Note("upkeep is due for the %d machines of lookup-svc, of %d in all, within %d s and at most %d at once", runners, 2*runners, waveTime, most)
	p.Store.Put("keyed.op", "wave/1", wave)
	time.Sleep(failsAfter - waveAfter + 500*time.Millisecond)
	for _, x := range s.Runs(lasting) {
		if x.Outcome == "failed" {
			s.Note("disruption: the lasting work item %s on %s has failed by itself, once", x.Task, x.WorkerID)
		}
	}
	time.Sleep(28 * time.Second)
	s.Note("the operator reads status/wave/1: %s", p.Store.Newest("keyed.status", "wave/1"))
	job := func(n int) string { return fmt.Sprintf("/lookup/%016x", 0xa0000+n) }
	for n := range jobs {
		s.Submit(job(n), map[string]any{"Spec": "lookup", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}})
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
	at := make(map[string]bool)
	for _, x := range s.Runs(lasting) {
		if x.End.IsZero() || time.Since(x.End) < 3*time.Second {
			at[x.Task] = true
		}
	}
	s.Note("the operator reads status/wave/1: %s", p.Store.Newest("keyed.status", "wave/1"))
	s.Note("%d of %d lasting work items are at work; %d of %d jobs were accepted and never began", len(at), 2*runners, lost, jobs)
	if lost > 0 || len(at) < 2*runners {
		s.Note("LOST is broken: nothing of these ran for %v, beside runners that are up and have at least 14 of 16 cores free", waitTime)
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}

func isFailing(task string) bool { return task == failingA || task == failingB }
