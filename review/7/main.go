// SPDX-License-Identifier: MIT

//go:build review

// Command 7 shows that runners are never used again whose upkeep began by a call that got no answer.
package main

import (
	"fmt"
	"strings"
	"time"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/review/rig"
)

const (
	runners  = 8
	cores    = 16000
	memory   = 32000
	jobs     = 20
	silence  = 5 * time.Second
	waitTime = 20 * time.Second
	// items is how many lasting work items the last job has, each on a runner of its own.
	items = 5
)

func main() {
	s := rig.Start(&platformtest.Platform{TaskDuration: duration})
	var machines []string
	for i := range runners {
		machines = append(machines, fmt.Sprintf("m-%d", i))
		s.Platform.AddWorker(machines[i], "lookup-svc", cores, memory)
	}
	s.Platform.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{{"Name": "part-lookup", "Host": "parts.example", "PathPrefix": "/lookup/", "Service": "lookup-svc", "Priority": 0, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600}},
		"Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.StartEntries()
	job := func(n int) string { return fmt.Sprintf("/lookup/%016x", 0xa0000+n) }
	spec := map[string]any{"Spec": "lookup", "Steps": []map[string]any{{"Count": 2, "Cpu": 880, "MemMb": 256, "EstimateMs": 1000}}}
	for n := range jobs / 2 {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if s.Trouble {
		s.Note("disruption: for %v the machine interface carries calls out and answers none", silence)
		machineCalls := s.Address(platformtest.MachinesAddress)
		s.Platform.SetFaults(func(address, path string) platformtest.Fault {
			if address == machineCalls {
				return platformtest.DropReply
			}
			return platformtest.None
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.Note("upkeep is due for %d machines, at most %d at once", len(machines), 9)
	s.Platform.RequestWave(1, machines, 9)
	time.Sleep(silence - 200*time.Millisecond)
	s.Note("the machine interface answers")
	s.Platform.SetFaults(nil)
	time.Sleep(12 * time.Second)
	s.Note("the operator reads status/wave/1: %s", s.Platform.Store.Newest("keyed.status", "wave/1"))
	for n := jobs / 2; n < jobs; n++ {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	const lasting = "00000000000b0001"
	s.Submit("/lookup/"+lasting, map[string]any{"Spec": "listen", "Steps": []map[string]any{{"Count": items, "Cpu": 880, "MemMb": 256, "AntiAffinity": 1, "Daemon": true}}})
	s.Note("the traffic has ended; nothing else happens for %v", waitTime)
	time.Sleep(waitTime)
	for n := range jobs {
		s.State(job(n))
	}
	s.State("/lookup/" + lasting)
	began := make(map[string]bool)
	for _, x := range s.Runs(lasting) {
		began[x.Task] = true
	}
	used := make(map[string]bool)
	for _, x := range s.Platform.Runs() {
		if x.End.IsZero() {
			used[x.WorkerID] = true
		}
	}
	s.Note("%d of %d lasting work items have begun, %d of %d runners run something", len(began), items, len(used), runners)
	if len(began) < items {
		s.Note("LOST is broken: %d lasting work items had nothing running for %v, beside %d runners that are up, ready and empty", items-len(began), waitTime, runners-len(used))
		s.End(rig.Broken)
	}
	s.End(rig.Held)
}

// duration returns how long a task runs: a lasting one does not end by itself.
func duration(task string) time.Duration {
	if strings.HasPrefix(task, "00000000000b") {
		return 0
	}
	return time.Second
}
