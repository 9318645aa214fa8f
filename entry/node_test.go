// SPDX-License-Identifier: MIT

//go:build !race

// On a fake clock the race detector's runtime fails, see internal/trial; a node on loopback is not needed there, since
// these tests share no memory that the packages' own tests do not.

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/platform"
)

// deployment is some nodes on the stand-in of the users' platform.
type deployment struct {
	c        *quicktest.C
	network  *memnet.Network
	platform *platformtest.Platform
	nodes    []*running
	client   *http.Client
	ctx      context.Context
	// rules are the parts of the users' rules that the nodes' settings name.
	rules []string
}

// running is one node and what ends it.
type running struct {
	node   *Node
	cancel context.CancelFunc
	ended  chan struct{}
}

const (
	testHost   = "host.example"
	testPrefix = "/q/"
	testLease  = 10 * time.Second
	testApply  = 3 * time.Second
	testSkew   = 6 * time.Second
)

// deploy starts nodes and workers and waits until jobs are taken.
func deploy(c *quicktest.C, nodes, workers int, change func(p *platformtest.Platform)) *deployment {
	d := &deployment{c: c, network: new(memnet.Network)}
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	d.platform = &platformtest.Platform{Listen: d.network.Listen, Lease: testLease, Off: "spare"}
	if change != nil {
		change(d.platform)
	}
	c.Assert(d.platform.Start(ctx), quicktest.IsNil)
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.network.Dial, DisableKeepAlives: true}}
	for i := range workers {
		d.platform.AddWorker(fmt.Sprintf("m%d", i), "pool-a", 4000, 8000)
	}
	d.platform.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{{"Name": "queue-a", "Host": testHost, "PathPrefix": testPrefix, "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000}},
		"Services": []map[string]any{{"Name": "pool-a", "AdmissionCheck": true}, {"Name": "spare", "Headroom": true}},
	})
	for i := range nodes {
		d.nodes = append(d.nodes, d.start(i))
	}
	c.Cleanup(func() {
		for _, n := range d.nodes {
			n.cancel()
		}
		for _, n := range d.nodes {
			<-n.ended
		}
		cancel()
		d.platform.Stop()
		d.client.CloseIdleConnections()
		time.Sleep(2 * time.Minute) // idle connections of the nodes' clients end by themselves
	})
	time.Sleep(3 * time.Second)
	return d
}

// start runs a node whose planned stop takes no time: nothing of what these tests check depends on it.
func (d *deployment) start(i int) *running {
	s := &platform.Settings{Entry: fmt.Sprintf("entry-%d", i), IP: fmt.Sprintf("10.1.0.%d", i+1), DataCentre: "z", Ports: []int{7000, 7010}}
	s.Listen.Clients, s.Listen.Ready = s.IP+":80", s.IP+":81"
	s.Store.Address, s.Machines.Address, s.Store.Partitions = platformtest.StoreAddress, platformtest.MachinesAddress, 2
	s.Seeds = []string{"10.1.0.1:9", "10.1.0.2:9"}
	s.Limits.Share = 0.4
	s.Bounds = platform.Bounds{LeaseMillis: int(testLease.Milliseconds()), StopMillis: 400, StatusSeconds: 120, GraceSeconds: 4, UpkeepSeconds: 2, MoveSeconds: 1.5, NoticeMillis: 4500, HarmMillis: 4000, ApplyMillis: int(testApply.Milliseconds()), SkewMillis: int(testSkew.Milliseconds())}
	s.Rules = d.rules
	ctx, cancel := context.WithCancel(d.ctx)
	r := &running{cancel: cancel, ended: make(chan struct{}), node: &Node{
		Settings: s, Events: &event.Ring{Entry: s.Entry}, Listen: d.network.Listen, Dial: d.network.Dial,
	}}
	go func() {
		defer close(r.ended)
		_ = r.node.Run(ctx) // a stopped node returns nothing of interest
	}()
	return r
}

// step is what tests hand in.
type step struct {
	Count, Cpu, MemMb, EstimateMs int
	DependsOn                     []int `json:",omitempty"`
	Daemon                        bool  `json:",omitempty"`
	Gang                          bool  `json:",omitempty"`
	MayMiss                       int   `json:",omitempty"`
}

// call makes one request to a node and returns the status and the body.
func (d *deployment) call(node int, method, id string, body any) (int, string) {
	b, err := json.Marshal(body)
	d.c.Assert(err, quicktest.IsNil)
	if body == nil {
		b = nil
	}
	return d.raw(node, method, testPrefix+id, b)
}

func (d *deployment) raw(node int, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(d.ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.nodes[node].node.Settings.Listen.Clients+path, bytes.NewReader(body))
	d.c.Assert(err, quicktest.IsNil)
	r.Host = testHost
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

func (d *deployment) submit(node int, id string, steps ...step) int {
	status, _ := d.call(node, http.MethodPost, id, map[string]any{"Spec": "text", "Steps": steps})
	return status
}

// await waits until the job shows the state at the node.
func (d *deployment) await(node int, id, state string, within time.Duration) {
	d.c.Helper()
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, last = d.call(node, http.MethodGet, id, nil); last == fmt.Sprintf(`{"State":%q}`, state) {
			return
		}
	}
	d.c.Fatalf("job %s: %s, want %s", id, last, state)
}

func (d *deployment) checkHistory() {
	d.c.Helper()
	d.c.Assert(d.platform.Check(), quicktest.HasLen, 0)
}

// leader returns the index of the node that leads, by the newest record that a node has read.
func (d *deployment) leader() int {
	d.c.Helper()
	newest, at := int64(-1), -1
	for i, n := range d.nodes {
		if r := n.node.elector.Latest(); r.Fence > newest && !r.Released {
			newest = r.Fence
			at = i
			for k, m := range d.nodes {
				if m.node.Settings.Entry == r.Entry {
					at = k
				}
			}
		}
	}
	d.c.Assert(at >= 0, quicktest.IsTrue, quicktest.Commentf("nobody leads"))
	return at
}

func onFakeTime(t *testing.T, f func(c *quicktest.C)) {
	runtime.GC()
	runtime.GC() // pools must not hand timers of another bubble on
	synctest.Test(t, func(t *testing.T) { f(quicktest.New(t)) })
}

func TestAJobOfTwoStepsSucceeds(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 3, 3, nil)
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 3, Cpu: 500, MemMb: 100, EstimateMs: 900}, step{Count: 2, Cpu: 500, MemMb: 100, DependsOn: []int{0}}), quicktest.Equals, 200)
		d.await(1, "00000000000000a1", "succeeded", 4*time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 5)
		d.checkHistory()
	})
}

func TestBadInputIsRefusedWithAReason(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 1, 1, nil)
		for _, test := range [...]struct {
			name, id, body string
			want           int
		}{
			{"no JSON", "00000000000000a1", `{"Spec":`, 400},
			{"an ID that is too short", "a1", `{"Steps":[{"Count":1}]}`, 400},
			{"no steps", "00000000000000a1", `{"Steps":[]}`, 400},
			{"a step that depends on a later one", "00000000000000a1", `{"Steps":[{"Count":1,"DependsOn":[1]},{"Count":1}]}`, 400},
			{"a negative size", "00000000000000a1", `{"Steps":[{"Count":1,"Cpu":-5}]}`, 400},
			{"too many tasks", "00000000000000a1", `{"Steps":[{"Count":1000000}]}`, 400},
			{"a text over 4000 bytes", "00000000000000a1", fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":1}]}`, bytes.Repeat([]byte("x"), 4001)), 400},
			{"a body over the limit", "00000000000000a1", fmt.Sprintf(`{"Spec":%q}`, bytes.Repeat([]byte("x"), 300<<10)), 413},
		} {
			status, body := d.raw(0, http.MethodPost, testPrefix+test.id, []byte(test.body))
			c.Check(status, quicktest.Equals, test.want, quicktest.Commentf("%s: %s", test.name, body))
			c.Check(json.Valid([]byte(body)), quicktest.IsTrue, quicktest.Commentf("%s: %s", test.name, body))
		}
		status, _ := d.raw(0, http.MethodGet, "/nowhere/00000000000000a1", nil)
		c.Assert(status, quicktest.Equals, 404)
		status, _ = d.call(0, http.MethodGet, "00000000000000a1", nil)
		c.Assert(status, quicktest.Equals, 410) // nothing was kept
	})
}

func TestTheSameJobTwiceIsOneJob(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, nil)
		for node := range 2 {
			c.Assert(d.submit(node, "00000000000000a1", step{Count: 2, Cpu: 500, MemMb: 100}), quicktest.Equals, 200)
		}
		d.await(0, "00000000000000a1", "succeeded", 4*time.Second)
		c.Assert(d.submit(1, "00000000000000a1", step{Count: 2, Cpu: 500, MemMb: 100}), quicktest.Equals, 200)
		time.Sleep(3 * time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 2)
	})
}

func TestACancelledJobStopsAndStaysCancelled(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 0 } })
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 2, Cpu: 500, MemMb: 100, Daemon: true, MayMiss: 1}), quicktest.Equals, 200)
		time.Sleep(time.Second)
		status, _ := d.call(1, http.MethodDelete, "00000000000000a1", nil)
		c.Assert(status, quicktest.Equals, 200)
		d.await(0, "00000000000000a1", "cancelled", 2*time.Second)
		for _, r := range d.platform.Runs() {
			c.Assert(r.How, quicktest.Equals, "stopped")
		}
		status, _ = d.call(1, http.MethodDelete, "00000000000000b2", nil)
		c.Assert(status, quicktest.Equals, 410)
	})
}

func TestALostLeaderLosesAndDoublesNothing(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 3, 3, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 4 * time.Second } })
		for i := range 6 {
			c.Assert(d.submit(i%3, fmt.Sprintf("%016x", i), step{Count: 3, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		}
		time.Sleep(1500 * time.Millisecond)
		lost := d.leader()
		d.nodes[lost].cancel()
		<-d.nodes[lost].ended
		other := (lost + 1) % 3
		for i := range 6 {
			d.await(other, fmt.Sprintf("%016x", i), "succeeded", 20*time.Second)
		}
		d.checkHistory()
		c.Assert(d.platform.Runs(), quicktest.HasLen, 18)
	})
}

func TestAllEntriesLostRightAfterAnAck(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, nil)
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 2, Cpu: 500, MemMb: 100}), quicktest.Equals, 200)
		for _, n := range d.nodes {
			n.cancel()
		}
		for i, n := range d.nodes {
			<-n.ended
			d.nodes[i] = d.start(i)
		}
		d.await(1, "00000000000000a1", "succeeded", 12*time.Second)
		d.checkHistory()
	})
}

func TestWithoutTheStoreJobsAreRefusedAndRunsGoOn(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 20 * time.Second } })
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 2, Cpu: 500, MemMb: 100}), quicktest.Equals, 200)
		time.Sleep(time.Second)
		d.platform.SetFaults(func(address, _ string) platformtest.Fault {
			if address == platformtest.StoreAddress {
				return platformtest.Refuse
			}
			return platformtest.None
		})
		time.Sleep(2 * time.Second)
		began := time.Now()
		c.Assert(d.submit(0, "00000000000000b2", step{Count: 1, Cpu: 500, MemMb: 100}), quicktest.Equals, 503)
		c.Assert(time.Since(began) < time.Second, quicktest.IsTrue)
		time.Sleep(14 * time.Second) // longer than a lease
		d.platform.SetFaults(nil)
		d.await(1, "00000000000000a1", "succeeded", 12*time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 2) // neither lapsed
		status, _ := d.call(0, http.MethodGet, "00000000000000b2", nil)
		c.Assert(status, quicktest.Equals, 410) // what was refused never runs
	})
}

func TestStartsCarriedOutLateNeverDouble(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 3, nil)
		n := 0
		d.platform.SetFaults(func(_, path string) platformtest.Fault {
			if path != platformtest.CallStart {
				return platformtest.None
			}
			n++
			return [...]platformtest.Fault{platformtest.Late, platformtest.Lost, platformtest.Silent, platformtest.None}[n%4]
		})
		for i := range 4 {
			c.Assert(d.submit(0, fmt.Sprintf("%016x", i), step{Count: 3, Cpu: 500, MemMb: 100}), quicktest.Equals, 200)
		}
		for i := range 4 {
			d.await(1, fmt.Sprintf("%016x", i), "succeeded", 60*time.Second)
		}
		d.checkHistory()
	})
}

func TestACrashedWorkersTasksStartElsewhereOnce(t *testing.T) {
	for _, reborn := range [...]bool{false, true} {
		t.Run(fmt.Sprintf("back under its ID %t", reborn), func(t *testing.T) { crashOnce(t, reborn) })
	}
}

func crashOnce(t *testing.T, reborn bool) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 3, func(p *platformtest.Platform) {
			p.Reborn = reborn
			p.Takes = func(string) time.Duration { return 3 * time.Second }
		})
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 9, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		time.Sleep(time.Second)
		machine := d.platform.MachineOf(d.platform.Runs()[0].Life)
		d.platform.Crash(machine)
		d.platform.Revive(machine)
		d.await(0, "00000000000000a1", "succeeded", 25*time.Second)
		d.checkHistory()
	})
}

func TestAJobThatAlwaysFailsFailsAfterItsAttempts(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 3, func(p *platformtest.Platform) { p.Fails = func(string, string) bool { return true } })
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 1, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		d.await(0, "00000000000000a1", "failed", 10*time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 3)
	})
}

func TestAWaveMaintainsEveryInstanceAndSparesWhatLasts(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 4, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 0 } })
		c.Assert(d.submit(0, "00000000000000a1", step{Count: 3, Cpu: 1000, MemMb: 100, Daemon: true, MayMiss: 1}), quicktest.Equals, 200)
		time.Sleep(2 * time.Second)
		d.platform.RequestWave(7, []string{"m0", "m1", "m2", "m3"}, 2)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if bytes.Contains(d.platform.Store.Newest("keyed.status", "wave/7"), []byte("succeeded")) {
				break
			}
		}
		c.Assert(string(d.platform.Store.Newest("keyed.status", "wave/7")), quicktest.Equals, `{"State":"succeeded"}`)
		time.Sleep(4 * time.Second)
		running := 0
		for _, r := range d.platform.Runs() {
			c.Assert(r.How == "" || r.How == "stopped", quicktest.IsTrue, quicktest.Commentf("%+v", r)) // none died with its instance
			if r.To.IsZero() {
				running++
			}
		}
		c.Assert(running, quicktest.Equals, 3)
		d.checkHistory()
	})
}

// TestADrainedDataCentreGetsNothingUntilItIsTakenBack drains one of two data centres under load, stops the leader and has the history forgotten meanwhile, and takes it
// back: the next leader starts nothing there, what lasts leaves as fast as it may be missed, and what begins later begins there too.
func TestADrainedDataCentreGetsNothingUntilItIsTakenBack(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 3, 6, func(p *platformtest.Platform) {
			p.ZoneOf = func(machine string) string { return map[bool]string{true: "east", false: "west"}[machine[1]%2 == 0] }
			p.Takes = func(task string) time.Duration {
				if strings.HasPrefix(task, "00000000000000ff") {
					return 0
				}
				return 300 * time.Millisecond
			}
		})
		c.Assert(d.submit(0, "00000000000000ff", step{Count: 4, Cpu: 500, MemMb: 100, Daemon: true, MayMiss: 1}), quicktest.Equals, 200)
		jobs := 0
		load := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				jobs++
				c.Check(d.submit(jobs%3, fmt.Sprintf("%016x", jobs), step{Count: 4, Cpu: 1000, MemMb: 100, EstimateMs: 300}), quicktest.Equals, 200)
			}
		}
		began := func(zone string, from, to time.Time) (n int) {
			for _, r := range d.platform.Runs() {
				if r.Zone == zone && r.From.After(from) && r.From.Before(to) {
					n++
				}
			}
			return n
		}
		load(3 * time.Second)
		c.Check(began("east", time.Time{}, time.Now()) > 0, quicktest.IsTrue)
		d.platform.Drain("east", true)
		drained := time.Now().Add(500 * time.Millisecond)
		load(3 * time.Second)
		d.platform.Store.Forget()
		stopped := d.leader()
		d.nodes[stopped].cancel()
		<-d.nodes[stopped].ended
		d.nodes[stopped] = d.start(stopped)
		time.Sleep(3 * time.Second)
		load(3 * time.Second)
		back := time.Now()
		c.Check(began("east", drained, back), quicktest.Equals, 0)
		c.Check(began("west", drained, back) > 0, quicktest.IsTrue)
		for _, r := range d.platform.Runs() {
			c.Check(r.Zone == "east" && r.To.IsZero(), quicktest.IsFalse, quicktest.Commentf("it is not empty: %+v", r))
		}
		d.platform.Drain("east", false)
		time.Sleep(time.Second)
		load(3 * time.Second)
		c.Check(began("east", back, time.Now()) > 0, quicktest.IsTrue)
		for i := 1; i <= jobs; i++ {
			d.await(i%3, fmt.Sprintf("%016x", i), "succeeded", 30*time.Second)
		}
		d.checkHistory()
	})
}

func TestAForgottenHistoryIsReadFromTheNewest(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, nil)
		for i := range 30 {
			c.Assert(d.submit(i%2, fmt.Sprintf("%016x", i), step{Count: 1, Cpu: 100, MemMb: 10}), quicktest.Equals, 200)
			if i%10 == 5 {
				d.platform.Store.Forget()
			}
		}
		for i := range 30 {
			d.await(i%2, fmt.Sprintf("%016x", i), "succeeded", 20*time.Second)
		}
		d.checkHistory()
	})
}

func TestAnEntryThatTheStoreDoesNotAnswerIsNotReady(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deploy(c, 2, 2, nil)
		ready := func() bool {
			resp, err := d.client.Get("http://" + d.nodes[0].node.Settings.Listen.Ready + "/ready")
			c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}
		c.Assert(ready(), quicktest.IsTrue)
		d.platform.SetFaults(func(address, _ string) platformtest.Fault {
			if address == platformtest.StoreAddress {
				return platformtest.Silent
			}
			return platformtest.None
		})
		time.Sleep(4 * time.Second)
		c.Assert(ready(), quicktest.IsFalse)
		d.platform.SetFaults(nil)
		time.Sleep(1500 * time.Millisecond)
		c.Assert(ready(), quicktest.IsTrue)
	})
}
