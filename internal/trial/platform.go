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

// Sizes and timeouts of OnPlatform.
const (
	platformEntries       = 3
	platformWorkers       = 4
	platformJobs          = 12
	platformHost          = "catalogue.example"
	platformSubmitTimeout = 20 * time.Second
	platformFinishTimeout = 40 * time.Second
	platformPollInterval  = 100 * time.Millisecond
)

// platformNode is an entry whose network connections can be cut.
type platformNode struct {
	entry *entry.Node
	ip    string

	mu       sync.Mutex
	isolated bool
	conns    []net.Conn
}

// dial returns a dialer whose connections are closed when the entry is isolated.
func (n *platformNode) dial(network *memnet.Network) platform.Dialer {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.isolated {
			return nil, fmt.Errorf("%s is isolated", n.ip)
		}
		c, err := network.Dial(ctx, kind, address)
		if err == nil {
			n.conns = append(n.conns, c)
		}
		return c, err
	}
}

// isolate closes the entry's connections and rejects new ones.
func (n *platformNode) isolate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = true
	for _, c := range n.conns {
		_ = c.Close() // it may be closed already
	}
}

// OnPlatform runs entries on the stand-in of the users' platform. It submits jobs, isolates the leader and waits until all
// jobs finish. It prints its progress and returns an error when a guarantee is violated.
func OnPlatform(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	network := new(memnet.Network)
	p := &platformtest.Platform{Listen: network.Listen, OffPool: "spare"}
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
	if err := submitJobs(ctx, client, nodes, out); err != nil {
		return err
	}
	leader := leaderIndex(nodes)
	nodes[leader].isolate()
	fmt.Fprintf(out, "leader %s is isolated\n", nodes[leader].entry.Settings.Entry)
	if err := awaitJobs(ctx, client, nodes[(leader+1)%platformEntries], out); err != nil {
		return err
	}
	if violations := p.Check(); len(violations) > 0 {
		return fmt.Errorf("guarantee violated: %s", strings.Join(violations, "; "))
	}
	fmt.Fprintf(out, "%d jobs finished in %d runs; no task ran twice\n", platformJobs, len(p.Runs()))
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
	go func() { _ = n.entry.Run(ctx) }() // it stops with the context
	return n
}

// leaderIndex returns the index of the first entry that considers itself the leader, or 0.
func leaderIndex(nodes []*platformNode) int {
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

// submitJobs submits the jobs to the entries in turn and retries each until it is accepted.
func submitJobs(ctx context.Context, client *http.Client, nodes []*platformNode, out io.Writer) error {
	const body = `{"Spec":"part 4711","Steps":[{"Count":3,"Cpu":900,"MemMb":500,"EstimateMs":1000},{"Count":1,"Cpu":900,"MemMb":500,"DependsOn":[0]}]}`
	deadline := time.Now().Add(platformSubmitTimeout)
	for job := 0; job < platformJobs; {
		status, text := callJob(ctx, client, nodes[job%platformEntries], http.MethodPost, job, body)
		if status == http.StatusOK {
			job++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("job %d not accepted within %s: status %d: %s", job, platformSubmitTimeout, status, text)
		}
		time.Sleep(platformPollInterval)
	}
	fmt.Fprintf(out, "submitted %d jobs of two steps to %d entries\n", platformJobs, platformEntries)
	return nil
}

func awaitJobs(ctx context.Context, client *http.Client, n *platformNode, out io.Writer) error {
	deadline := time.Now().Add(platformFinishTimeout)
	for job := 0; job < platformJobs; {
		status, text := callJob(ctx, client, n, http.MethodGet, job, "")
		if strings.Contains(text, `"succeeded"`) {
			job++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("job %d not finished within %s: status %d: %s", job, platformFinishTimeout, status, text)
		}
		time.Sleep(platformPollInterval)
	}
	fmt.Fprintf(out, "%s reports that all of them succeeded\n", n.entry.Settings.Entry)
	return nil
}
