// SPDX-License-Identifier: MIT

//go:build !race

package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// overloadClient submits jobs of eight tasks of a second to all nodes in turn.
type overloadClient struct {
	workload
	// waits are the values of Retry-After in seconds.
	waits []int
}

func (x *overloadClient) submit() {
	d := x.d
	x.submitted++
	id := fmt.Sprintf("%016x", x.submitted)
	body, err := json.Marshal(map[string]any{"Spec": "text", "Steps": []step{{Count: 8, Cpu: 1000, MemMb: 100, EstimateMs: 1000}}})
	d.c.Assert(err, quicktest.IsNil)
	node := d.nodes[x.submitted%len(d.nodes)].node
	r, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+node.Settings.Listen.Clients+testPrefix+id, bytes.NewReader(body))
	d.c.Assert(err, quicktest.IsNil)
	r.Host = testHost
	resp, err := d.client.Do(r)
	d.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		x.accepted = append(x.accepted, id)
	case http.StatusServiceUnavailable:
		var answer struct{ Error string }
		d.c.Assert(json.NewDecoder(resp.Body).Decode(&answer), quicktest.IsNil)
		d.c.Check(answer.Error, quicktest.Matches, "not taken, and it will not run: .*; hand the job in again after .*")
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		d.c.Check(err, quicktest.IsNil)
		x.refused, x.waits = append(x.refused, id), append(x.waits, seconds)
	default:
		d.c.Fatalf("status %d", resp.StatusCode)
	}
}

// burst submits jobs at several times the rate at which three workers do them.
func (x *overloadClient) burst(jobs int) {
	for range jobs {
		x.submit()
		time.Sleep(60 * time.Millisecond)
	}
}

func deployForOverload(c *quicktest.C) *overloadClient {
	x := &overloadClient{workload: workload{d: deploy(c, 3, 3, nil)}}
	for range 8 {
		x.submit()
		time.Sleep(700 * time.Millisecond)
	}
	c.Assert(x.refused, quicktest.HasLen, 0) // the workers can do this load
	time.Sleep(time.Second)
	return x
}

// TestABurstIsRefusedAndItsEndIsNot guards against refusals that are untrue or go on for too long: no refused job runs, every accepted one
// ends, and as soon as there is room jobs are taken again.
func TestABurstIsRefusedAndItsEndIsNot(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		x := deployForOverload(c)
		x.burst(60)
		for node := range x.d.nodes { // what is accepted stays accepted wherever it is handed in again
			status, _ := x.d.call(node, http.MethodPost, x.accepted[len(x.accepted)-1], map[string]any{"Spec": "text", "Steps": []step{{Count: 8, Cpu: 1000, MemMb: 100, EstimateMs: 1000}}})
			c.Check(status, quicktest.Equals, http.StatusOK)
		}
		refused := len(x.refused)
		c.Logf("%d of 60 jobs refused, to come back after %v s", refused, x.waits)
		c.Assert(refused > 5, quicktest.IsTrue)
		for _, s := range x.waits {
			c.Check(s >= 1 && s <= 10, quicktest.IsTrue)
		}
		text := strings.Join(eventTexts(x.d), "\n")
		for _, part := range [...]string{"overload-begun", "job-overload", "wait=", "target=", "age="} {
			c.Check(strings.Contains(text, part), quicktest.IsTrue, quicktest.Commentf("no %q in the log", part))
		}
		time.Sleep(20 * time.Second)
		x.submit()
		c.Assert(x.refused, quicktest.HasLen, refused)
		c.Check(strings.Contains(strings.Join(eventTexts(x.d), "\n"), "overload-ended"), quicktest.IsTrue)
		x.awaitAll(0)
	})
}

// TestALeaderLostWhileItRefuses guards against refusals that go on without a leader, or by the knowledge of the earlier one.
func TestALeaderLostWhileItRefuses(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		x := deployForOverload(c)
		x.burst(60)
		c.Assert(len(x.refused) > 0, quicktest.IsTrue)
		stopped := x.d.leader()
		x.d.nodes[stopped].cancel()
		<-x.d.nodes[stopped].ended
		x.d.nodes[stopped] = x.d.start(stopped)
		time.Sleep(20 * time.Second)
		refused := len(x.refused)
		x.submit()
		c.Assert(x.refused, quicktest.HasLen, refused)
		x.awaitAll(0)
	})
}

// eventTexts returns the names and texts of all nodes' events.
func eventTexts(d *deployment) []string {
	var out []string
	for _, n := range d.nodes {
		for _, e := range n.node.Events.Since(0) {
			out = append(out, e.Name+" "+e.Text)
		}
	}
	return out
}
