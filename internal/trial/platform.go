// SPDX-License-Identifier: MIT

package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rackstep.dev/entry"
	"rackstep.dev/event"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/platform"
)

// Sizes and times of a trial on the users' platform.
const (
	platformEntries = 3
	platformWorkers = 4
	platformJobs    = 12
	platformHost    = "catalogue.example"
	platformBegin   = 20 * time.Second
	platformEnd     = 40 * time.Second
	platformLook    = 100 * time.Millisecond
)

// platformNode is an entry of the trial, which can be cut off from everything.
type platformNode struct {
	entry *entry.Node
	ip    string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// dial opens a connection that ends when the entry is cut off.
func (n *platformNode) dial(network *memnet.Network) platform.Dialer {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut {
			return nil, fmt.Errorf("%s is cut off", n.ip)
		}
		c, err := network.Dial(ctx, kind, address)
		if err == nil {
			n.conns = append(n.conns, c)
		}
		return c, err
	}
}

// cutOff ends all that the entry has open, and lets it open nothing more.
func (n *platformNode) cutOff() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = true
	for _, c := range n.conns {
		_ = c.Close() // it may have ended by itself
	}
}

// OnPlatform runs entries on the stand-in of the users' platform: jobs are handed in and placed, the leader is cut off, and
// all jobs finish. It tells what happens, and fails when a promise is broken.
func OnPlatform(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	network := new(memnet.Network)
	p := &platformtest.Platform{Listen: network.Listen, Off: "spare"}
	if err := p.Start(ctx); err != nil {
		return err
	}
	defer p.Stop()
	defer cancel()
	for i := range platformWorkers {
		p.AddWorker(fmt.Sprint("machine-", i), "catalogue", 4000, 8000)
	}
	p.Publish(map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{{"Name": "lookups", "Host": platformHost, "PathPrefix": "/lookups/", "Service": "catalogue", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000}},
		"Services": []map[string]any{{"Name": "catalogue", "AdmissionCheck": true}, {"Name": "spare", "Headroom": true}},
	})
	var nodes []*platformNode
	for i := range platformEntries {
		nodes = append(nodes, startNode(ctx, network, i))
	}
	client := &http.Client{Transport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}}
	if err := handIn(ctx, client, nodes, out); err != nil {
		return err
	}
	lost := leaderOf(nodes)
	nodes[lost].cutOff()
	fmt.Fprintf(out, "%s led and is cut off from everything\n", nodes[lost].entry.Settings.Entry)
	if err := awaitAll(ctx, client, nodes[(lost+1)%platformEntries], out); err != nil {
		return err
	}
	if wrong := p.Check(); len(wrong) > 0 {
		return fmt.Errorf("a promise was broken: %s", strings.Join(wrong, "; "))
	}
	fmt.Fprintf(out, "%d jobs done in %d runs; no task ran twice\n", platformJobs, len(p.Runs()))
	return nil
}

func startNode(ctx context.Context, network *memnet.Network, i int) *platformNode {
	n := &platformNode{ip: fmt.Sprintf("10.1.0.%d", i+1)}
	s := &platform.Settings{Entry: fmt.Sprint("entry-", i), IP: n.ip, DataCentre: "a", Ports: []int{7000, 7010}, Seeds: []string{"10.1.0.1:1", "10.1.0.2:1"}}
	s.Listen.Clients, s.Listen.Ready = n.ip+":80", n.ip+":81"
	s.Store.Address, s.Machines.Address, s.Store.Partitions = platformtest.StoreAddress, platformtest.MachinesAddress, 2
	s.Limits.Share = 0.4
	s.Bounds = platform.Bounds{LeaseMillis: 6000, StopMillis: 400, StatusSeconds: 120, UpkeepSeconds: 2, MoveSeconds: 1.5}
	n.entry = &entry.Node{Settings: s, Events: &event.Ring{Entry: s.Entry}, Listen: network.Listen, Dial: n.dial(network)}
	go func() { _ = n.entry.Run(ctx) }() // it ends with the trial
	return n
}

// leaderOf returns the index of the entry that leads, by what the first one has read.
func leaderOf(nodes []*platformNode) int {
	for i, n := range nodes {
		if n.entry.IsLeader() {
			return i
		}
	}
	return 0
}

func callJob(ctx context.Context, client *http.Client, n *platformNode, method string, job int, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:80/lookups/%016x", n.ip, job), bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = platformHost
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// handIn hands in the jobs, over all entries, as soon as they are taken.
func handIn(ctx context.Context, client *http.Client, nodes []*platformNode, out io.Writer) error {
	const body = `{"Spec":"part 4711","Steps":[{"Count":3,"Cpu":900,"MemMb":500,"EstimateMs":1000},{"Count":1,"Cpu":900,"MemMb":500,"DependsOn":[0]}]}`
	end := time.Now().Add(platformBegin)
	for job := 0; job < platformJobs; {
		status, text := callJob(ctx, client, nodes[job%platformEntries], http.MethodPost, job, body)
		if status == http.StatusOK {
			job++
			continue
		}
		if time.Now().After(end) {
			return fmt.Errorf("job %d is not taken: %d %s", job, status, text)
		}
		time.Sleep(platformLook)
	}
	fmt.Fprintf(out, "%d jobs of two steps handed in over %d entries\n", platformJobs, platformEntries)
	return nil
}

func awaitAll(ctx context.Context, client *http.Client, n *platformNode, out io.Writer) error {
	end := time.Now().Add(platformEnd)
	for job := 0; job < platformJobs; {
		status, text := callJob(ctx, client, n, http.MethodGet, job, "")
		if strings.Contains(text, `"succeeded"`) {
			job++
			continue
		}
		if time.Now().After(end) {
			return fmt.Errorf("job %d: %d %s", job, status, text)
		}
		time.Sleep(platformLook)
	}
	fmt.Fprintf(out, "%s answers for all of them\n", n.entry.Settings.Entry)
	return nil
}
