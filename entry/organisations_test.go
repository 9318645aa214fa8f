// SPDX-License-Identifier: MIT

//go:build !race

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/event"
	"rackstep.dev/internal/standin/platformtest"
)

// API keys of the tests. They must not occur anywhere but in the configurations that the operator publishes.
const (
	keyA, keyB, keyNew = "key-of-a-0123456789a", "key-of-b-0123456789b", "key-of-a-newly-added"
	publicPrefix       = "/open/"
)

// organisation is an organisation in the form that the operator publishes.
type organisation = platformtest.Organisation

// publish publishes a configuration with a queue that requires keys and a public one.
func (d *deployment) publish(version int, organisations ...organisation) {
	d.platform.PublishOrganisations(version, map[string]any{
		"Routes": []map[string]any{
			{"Name": "queue-a", "Host": testHost, "PathPrefix": testPrefix, "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000},
			{"Name": "open", "Host": testHost, "PathPrefix": publicPrefix, "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000, "Public": true},
		},
		"Services": []map[string]any{{"Name": "pool-a", "AdmissionCheck": true}, {"Name": "spare", "Headroom": true}},
	}, organisations...)
}

// bothOrganisations returns the organisations of a keyed deployment.
func bothOrganisations() []organisation {
	return []organisation{{Name: "org-a", Keys: []string{keyA}, Weight: 10}, {Name: "org-b", Keys: []string{keyB}, Weight: 5}}
}

// deployKeyed starts a deployment with two organisations whose queue requires keys.
func deployKeyed(c *quicktest.C, nodes, workers int, change func(p *platformtest.Platform)) *deployment {
	d := deploy(c, 0, workers, change)
	d.rules = []string{platformtest.TenantsContract}
	d.publish(2, bothOrganisations()...)
	for i := range nodes {
		d.nodes = append(d.nodes, d.start(i))
	}
	time.Sleep(3 * time.Second)
	return d
}

// request sends a request with a key through the client and returns the status, the headers and the body of the response.
func (d *deployment) request(client *http.Client, node int, method, path, key string, body any) (int, http.Header, string) {
	d.c.Helper()
	var b []byte
	if body != nil {
		var err error
		b, err = json.Marshal(body)
		d.c.Assert(err, quicktest.IsNil)
	}
	ctx, cancel := context.WithTimeout(d.ctx, 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.nodes[node].node.Settings.Listen.Clients+path, bytes.NewReader(b))
	d.c.Assert(err, quicktest.IsNil)
	r.Host = testHost
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(r)
	d.c.Assert(err, quicktest.IsNil)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(text)
}

// status sends a request with a key, and with a job if steps are given, and returns the status.
func (d *deployment) status(node int, method, path, key string, steps ...step) int {
	d.c.Helper()
	var body any
	if steps != nil {
		body = map[string]any{"Spec": "text", "Steps": steps}
	}
	status, _, _ := d.request(d.client, node, method, path, key, body)
	return status
}

// awaitFor waits until the node reports the state for the job to a client with the key.
func (d *deployment) awaitFor(node int, path, key, state string, within time.Duration) {
	d.c.Helper()
	got := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, _, got = d.request(d.client, node, http.MethodGet, path, key, nil); got == fmt.Sprintf(`{"State":%q}`, state) {
			return
		}
	}
	d.c.Fatalf("job %s: state %s after %v, want %s", path, got, within, state)
}

var shortStep = step{Count: 1, Cpu: 500, MemMb: 100, EstimateMs: 1000}

const (
	jobA = testPrefix + "00000000000000a1"
	jobB = testPrefix + "00000000000000b2"
)

// Calls without a key, or with a key that no configuration has contained, must be rejected with status 401. Before keys were
// checked, jobs of such callers were accepted and ran, 17 times in a day without faults.
func TestACallWithoutAKnownKeyDoesNotRun(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		for _, key := range [...]string{"", "no-such-key", keyA + "x"} {
			for _, call := range [...]struct{ method, path string }{
				{http.MethodPost, jobA}, {http.MethodGet, jobA}, {http.MethodDelete, jobA}, {http.MethodGet, testPrefix},
			} {
				status, header, body := d.request(d.client, 0, call.method, call.path, key, map[string]any{"Steps": []step{shortStep}})
				c.Check(status, quicktest.Equals, 401, quicktest.Commentf("%s %s: %s", call.method, call.path, body))
				c.Check(header.Get("WWW-Authenticate"), quicktest.Equals, `Bearer realm="rackstep"`)
				c.Check(body, quicktest.Contains, "Authorization: Bearer KEY")
			}
		}
		time.Sleep(3 * time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 0)
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, shortStep), quicktest.Equals, 200)
		d.awaitFor(1, jobA, keyA, "succeeded", 5*time.Second)
		c.Assert(d.status(1, http.MethodGet, testPrefix, keyB), quicktest.Equals, 200)
		c.Assert(d.status(0, http.MethodPost, publicPrefix+"00000000000000c3", "", shortStep), quicktest.Equals, 200)
		d.awaitFor(1, publicPrefix+"00000000000000c3", "", "succeeded", 5*time.Second)
	})
}

// A withdrawn key must be rejected on connections that are already open, while the jobs that were submitted with it continue.
// Before keys were checked, jobs that were submitted half a minute after the withdrawal still ran, up to 620 times a day.
func TestAWithdrawnKeyIsRefusedOnAnOpenConnectionAndItsJobsGoOn(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, func(p *platformtest.Platform) { p.TaskDuration = func(string) time.Duration { return 6 * time.Second } })
		keepAlive := &http.Client{Transport: &http.Transport{DialContext: d.network.Dial, MaxConnsPerHost: 1}}
		defer keepAlive.CloseIdleConnections()
		getStatus := func(key string) int {
			status, _, _ := d.request(keepAlive, 0, http.MethodGet, jobA, key, nil)
			return status
		}
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, shortStep), quicktest.Equals, 200)
		time.Sleep(time.Second)
		c.Assert(getStatus(keyA), quicktest.Equals, 200)
		d.publish(3, organisation{Name: "org-a", Keys: []string{keyNew}, Weight: 10})
		time.Sleep(3 * time.Second)
		c.Assert(getStatus(keyA), quicktest.Equals, 401)
		c.Assert(getStatus(keyNew), quicktest.Equals, 200)
		c.Assert(d.status(1, http.MethodPost, jobB, keyB, shortStep), quicktest.Equals, 401)
		d.publish(4) // withdraws the last key and its organisation
		time.Sleep(3 * time.Second)
		c.Assert(getStatus(keyNew), quicktest.Equals, 401, quicktest.Commentf("the key is accepted because no organisation is left"))
		d.publish(5, bothOrganisations()...)
		time.Sleep(3 * time.Second)
		d.awaitFor(1, jobA, keyA, "succeeded", 5*time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 1)
	})
}

// An invalid configuration must leave the previous one in force and be reported by an event that does not contain its keys.
func TestABrokenConfigurationChangesNothingAndIsTold(t *testing.T) {
	for name, broken := range map[string][]organisation{
		"an organisation twice": {{Name: "org-a", Keys: []string{keyNew}, Weight: 1}, {Name: "org-a", Weight: 1}},
		"a key for two":         {{Name: "org-a", Keys: []string{keyNew}, Weight: 1}, {Name: "org-b", Keys: []string{keyNew}, Weight: 1}},
		"a negative cap":        {{Name: "org-a", Keys: []string{keyNew}, Weight: 1, Cap: map[string]int{"Cpu": -1}}},
		"no weight":             {{Name: "org-a", Keys: []string{keyNew}}},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeTime(t, func(c *quicktest.C) {
				d := deployKeyed(c, 1, 1, nil)
				d.publish(3, broken...)
				time.Sleep(3 * time.Second)
				c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 401)
				c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 410)
				refusal := ""
				for _, e := range d.nodes[0].node.Events.Since(0) {
					if e.Number == event.RecordRefused {
						refusal = e.Text
					}
				}
				c.Assert(refusal, quicktest.Contains, "configuration 3: organisation")
				c.Assert(strings.Contains(refusal, keyNew), quicktest.IsFalse)
			})
		})
	}
}

// An organisation must not be able to read, cancel or replace the job of another one, even with the job's ID and across a change of
// the leader. A job that it submits with the same ID is a separate job.
func TestAnotherOrganisationsJobIsUnknown(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 3, 3, func(p *platformtest.Platform) { p.TaskDuration = func(string) time.Duration { return 8 * time.Second } })
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, shortStep), quicktest.Equals, 200)
		time.Sleep(time.Second)
		c.Assert(d.status(1, http.MethodGet, jobA, keyB), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodDelete, jobA, keyB), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodGet, publicPrefix+"00000000000000a1", ""), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodPost, jobA, keyB, step{Count: 9, Cpu: 100, MemMb: 10}), quicktest.Equals, 200, quicktest.Commentf("the conflict can't be detected on submission"))
		time.Sleep(500 * time.Millisecond)
		d.awaitFor(2, jobA, keyB, "failed", time.Second)
		c.Assert(d.status(1, http.MethodDelete, jobA, keyB), quicktest.Equals, 200)
		stopped := d.leader()
		d.nodes[stopped].cancel()
		<-d.nodes[stopped].ended
		d.awaitFor((stopped+1)%3, jobA, keyA, "succeeded", 15*time.Second)
		d.awaitFor((stopped+2)%3, jobA, keyB, "failed", time.Second)
		runs := d.platform.Runs()
		c.Assert(runs, quicktest.HasLen, 1)
		c.Assert(runs[0].Outcome, quicktest.Equals, "done")
	})
}

// An entry that can't read the configuration must choose between 401 and 503. A key that may be new must not be rejected as unknown,
// and a key that may have been withdrawn must be accepted only as long as the bounds allow.
func TestAnEntryThatIsCutOffSaysSo(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		d.platform.SetFaults(func(address, _ string) platformtest.Fault {
			if address == platformtest.StoreAddress {
				return platformtest.Refuse
			}
			return platformtest.None
		})
		time.Sleep(time.Second)
		c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 401, quicktest.Commentf("the configuration is still recent, so the key is unknown"))
		time.Sleep(testApply)
		status, header, body := d.request(d.client, 0, http.MethodGet, jobA, keyNew, nil)
		c.Assert(status, quicktest.Equals, 503, quicktest.Commentf("%s", body))
		c.Assert(header.Get("Retry-After"), quicktest.Equals, "1")
		c.Assert(d.status(0, http.MethodGet, "/nowhere/x", keyA), quicktest.Equals, 503, quicktest.Commentf("the queue may have been added meanwhile"))
		c.Assert(d.status(0, http.MethodGet, testPrefix, keyA), quicktest.Equals, 200, quicktest.Commentf("a known key is still accepted"))
		time.Sleep(testSkew)
		c.Assert(d.status(0, http.MethodGet, testPrefix, keyA), quicktest.Equals, 503, quicktest.Commentf("a known key is no longer accepted, as it may have been withdrawn"))
		d.platform.SetFaults(nil)
		d.publish(3, organisation{Name: "org-a", Keys: []string{keyNew}, Weight: 1})
		time.Sleep(3 * time.Second)
		c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 410)
		c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 401)
	})
}

// No response, event or stored record may contain an API key, after calls with known, unknown and withdrawn keys and an invalid
// configuration.
func TestNoKeyIsFoundAnywhere(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		keys := []string{keyA, keyB, keyNew, "never-known-key-0123"}
		for i, key := range keys {
			for _, method := range [...]string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				_, _, body := d.request(d.client, i%2, method, testPrefix+fmt.Sprintf("%016x", i), key, map[string]any{"Steps": []step{shortStep}})
				for _, k := range keys {
					c.Check(strings.Contains(body, k), quicktest.IsFalse)
				}
			}
		}
		d.publish(3, organisation{Name: "org-a", Keys: []string{keyNew, keyNew}})
		time.Sleep(5 * time.Second)
		var output bytes.Buffer
		for _, n := range d.nodes {
			for _, e := range n.node.Events.Since(0) {
				fmt.Fprintf(&output, "%+v\n", e)
			}
		}
		d.platform.Store.ForEach(func(topic, key string, value []byte) {
			if !strings.HasPrefix(topic, "keyed.op/") {
				fmt.Fprintf(&output, "%s %s %s\n", topic, key, value)
			}
		})
		c.Assert(output.Len() > 1000, quicktest.IsTrue)
		for _, key := range keys {
			c.Check(bytes.Contains(output.Bytes(), []byte(key)), quicktest.IsFalse, quicktest.Commentf("key %s", key))
		}
	})
}

// An organisation submits more than its cap allows, the cap is lowered and the leader changes twice. The number of concurrent tasks,
// recomputed from the history of the workers' runs, must never exceed the cap.
func TestACapHoldsOverTakeovers(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 3, 6, func(p *platformtest.Platform) { p.TaskDuration = func(string) time.Duration { return 3 * time.Second } })
		publishCap := func(version, cpu int) {
			d.publish(version, organisation{Name: "org-a", Keys: []string{keyA}, Weight: 10, Cap: map[string]int{"Cpu": cpu}}, bothOrganisations()[1])
		}
		publishCap(3, 5000)
		time.Sleep(2 * time.Second)
		for i := range 8 {
			c.Assert(d.status(i%3, http.MethodPost, testPrefix+fmt.Sprintf("%016x", i), keyA, step{Count: 3, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		}
		c.Assert(d.status(0, http.MethodPost, jobB, keyB, step{Count: 4, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		d.awaitFor(1, jobB, keyB, "succeeded", 5*time.Second) // tasks that wait for the cap reserve no capacity
		publishCap(4, 3000)
		lowered := time.Now().Add(3 * time.Second)
		for range 2 {
			restarted := d.leader()
			d.nodes[restarted].cancel()
			<-d.nodes[restarted].ended
			d.nodes[restarted] = d.start(restarted)
			time.Sleep(4 * time.Second)
		}
		for i := range 8 {
			d.awaitFor(0, testPrefix+fmt.Sprintf("%016x", i), keyA, "succeeded", 60*time.Second)
		}
		d.checkHistory()
		for _, x := range d.platform.Runs() {
			if strings.HasPrefix(x.Task, "00000000000000b2") {
				continue
			}
			concurrent, limit := 0, 5
			if x.Start.After(lowered) {
				limit = 3
			}
			for _, o := range d.platform.Runs() {
				if !strings.HasPrefix(o.Task, "00000000000000b2") && !o.Start.After(x.Start) && o.End.After(x.Start) {
					concurrent++
				}
			}
			c.Check(concurrent <= limit, quicktest.IsTrue, quicktest.Commentf("%s started as concurrent task %d, the limit is %d", x.Task, concurrent, limit))
		}
	})
}

func TestAGangThatNoCapAllowsIsRefusedAtOnce(t *testing.T) {
	withFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 1, 3, nil)
		d.publish(3, organisation{Name: "org-a", Keys: []string{keyA}, Weight: 10, Cap: map[string]int{"Cpu": 3000}})
		time.Sleep(3 * time.Second)
		gang := step{Count: 4, Cpu: 1000, MemMb: 10, Gang: true}
		status, _, body := d.request(d.client, 0, http.MethodPost, jobA, keyA, map[string]any{"Steps": []step{gang}})
		c.Assert(status, quicktest.Equals, 400)
		c.Assert(body, quicktest.Contains, "make it smaller, or have the cap raised")
		c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 410)
		gang.Count = 3
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, gang), quicktest.Equals, 200)
		d.awaitFor(0, jobA, keyA, "succeeded", 5*time.Second)
	})
}
