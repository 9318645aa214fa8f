// SPDX-License-Identifier: MIT

//go:build review

// Command 7 shows that runners are never used again whose upkeep began by a call that got no answer.
package main

import (
	"encoding/json"
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
	items    = 6
	waveTime = 26
	most     = 4
)

func main() {
	s := rig.Start(&platformtest.Platform{TaskDuration: duration})
	var machines []string
	for i := range runners {
		machines = append(machines, fmt.Sprintf("m-%d", i))
		s.Platform.AddWorker(machines[i], "lookup-svc", cores, memory)
		s.Platform.AddWorker(fmt.Sprintf("n-%d", i), "chain-svc", cores, memory)
	}
	route := func(name, service string) map[string]any {
		return map[string]any{"Name": name, "Host": "parts.example", "PathPrefix": "/" + name + "/", "Service": service, "Priority": 0, "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 600}
	}
	s.Platform.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{route("lookup", "lookup-svc"), route("chain", "chain-svc")},
		"Services": []map[string]any{{"Name": "lookup-svc", "AdmissionCheck": true}, {"Name": "chain-svc", "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.CPU, s.Capacity = func(string) int { return 880 }, cores
	s.StartEntries()
	// One lasting work item on each runner of the other service, so that none of them is moved.
	lastingStep := func(count, miss int) map[string]any {
		return map[string]any{"Spec": "listen", "Steps": []map[string]any{{"Count": count, "Cpu": 880, "MemMb": 256, "AntiAffinity": 1, "Daemon": true, "MayMiss": miss}}}
	}
	s.Submit("/chain/00000000000b0002", lastingStep(runners, 1))
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
	wave, err := json.Marshal(map[string]any{"Wave": 1, "Machines": machines, "DurationS": waveTime, "Cap": most})
	if err != nil {
		s.Fail("wave: %v", err)
	}
	s.Note("upkeep is due for the %d machines of lookup-svc, of %d in all, within %d s and at most %d at once", runners, 2*runners, waveTime, most)
	s.Platform.Store.Put("keyed.op", "wave/1", wave)
	time.Sleep(silence - 200*time.Millisecond)
	s.Note("the machine interface answers")
	s.Platform.SetFaults(nil)
	time.Sleep(22 * time.Second)
	s.Note("the operator reads status/wave/1: %s", s.Platform.Store.Newest("keyed.status", "wave/1"))
	for n := jobs / 2; n < jobs; n++ {
		s.Submit(job(n), spec)
		time.Sleep(100 * time.Millisecond)
	}
	const lasting = "00000000000b0001"
	s.Submit("/lookup/"+lasting, lastingStep(items, 0))
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
		if x.End.IsZero() && !strings.HasPrefix(x.Task, "00000000000b0002") {
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
