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

// Keys of the tests; none of them may be found anywhere but in what the operator publishes.
const (
	keyA, keyB, keyNew = "key-of-a-0123456789a", "key-of-b-0123456789b", "key-of-a-newly-added"
	publicPrefix       = "/open/"
)

// organisation is one as the operator publishes it.
type organisation = platformtest.Organisation

// publishes publishes a version with a queue that needs keys, and a public one.
func (d *deployment) publishes(version int, organisations ...organisation) {
	d.platform.PublishOrganisations(version, map[string]any{
		"Routes": []map[string]any{
			{"Name": "queue-a", "Host": testHost, "PathPrefix": testPrefix, "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000},
			{"Name": "open", "Host": testHost, "PathPrefix": publicPrefix, "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000, "Public": true},
		},
		"Services": []map[string]any{{"Name": "pool-a", "AdmissionCheck": true}, {"Name": "spare", "Headroom": true}},
	}, organisations...)
}

func both() []organisation {
	return []organisation{{Name: "org-a", Keys: []string{keyA}, Weight: 10}, {Name: "org-b", Keys: []string{keyB}, Weight: 5}}
}

// deployKeyed starts a deployment of two organisations, whose bounds are those of the users' sheet.
func deployKeyed(c *quicktest.C, nodes, workers int, change func(p *platformtest.Platform)) *deployment {
	d := deploy(c, 0, workers, change)
	d.rules = []string{platformtest.Keyed}
	d.publishes(2, both()...)
	for i := range nodes {
		d.nodes = append(d.nodes, d.start(i))
	}
	time.Sleep(3 * time.Second)
	return d
}

// asks makes one call with a key, on a connection of its own or the client's; it returns the whole answer.
func (d *deployment) asks(client *http.Client, node int, method, path, key string, body any) (int, http.Header, string) {
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
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(answer)
}

func (d *deployment) status(node int, method, path, key string, steps ...step) int {
	d.c.Helper()
	var body any
	if steps != nil {
		body = map[string]any{"Spec": "text", "Steps": steps}
	}
	status, _, _ := d.asks(d.client, node, method, path, key, body)
	return status
}

// awaitFor waits until the job shows the state to who has the key.
func (d *deployment) awaitFor(node int, path, key, state string, within time.Duration) {
	d.c.Helper()
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, _, last = d.asks(d.client, node, http.MethodGet, path, key, nil); last == fmt.Sprintf(`{"State":%q}`, state) {
			return
		}
	}
	d.c.Fatalf("job %s: %s, want %s", path, last, state)
}

var short = step{Count: 1, Cpu: 500, MemMb: 100, EstimateMs: 1000}

const (
	jobA = testPrefix + "00000000000000a1"
	jobB = testPrefix + "00000000000000b2"
)

// The story. A requester without a key, or with one that no configuration has ever held, handed a job in and it ran: 17 times on a calm day.
// Nothing in the code knew a key. The evidence: the first request that was wrong got 200 although its key stood nowhere.
func TestACallWithoutAKnownKeyDoesNotRun(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		for _, key := range [...]string{"", "no-such-key", keyA + "x"} {
			for _, call := range [...]struct{ method, path string }{
				{http.MethodPost, jobA}, {http.MethodGet, jobA}, {http.MethodDelete, jobA}, {http.MethodGet, testPrefix},
			} {
				status, header, body := d.asks(d.client, 0, call.method, call.path, key, map[string]any{"Steps": []step{short}})
				c.Check(status, quicktest.Equals, 401, quicktest.Commentf("%s %s: %s", call.method, call.path, body))
				c.Check(header.Get("WWW-Authenticate"), quicktest.Equals, `Bearer realm="rackstep"`)
				c.Check(body, quicktest.Contains, "Authorization: Bearer KEY")
			}
		}
		time.Sleep(3 * time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 0)
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, short), quicktest.Equals, 200)
		d.awaitFor(1, jobA, keyA, "succeeded", 5*time.Second)
		c.Assert(d.status(1, http.MethodGet, testPrefix, keyB), quicktest.Equals, 200)
		c.Assert(d.status(0, http.MethodPost, publicPrefix+"00000000000000c3", "", short), quicktest.Equals, 200)
		d.awaitFor(1, publicPrefix+"00000000000000c3", "", "succeeded", 5*time.Second)
	})
}

// The story. Keys were withdrawn from connected requesters, and what they sent half a minute later still ran: up to 620 times a day.
// The evidence: they were answered 200 under a version that had dropped the key.
func TestAWithdrawnKeyIsRefusedOnAnOpenConnectionAndItsJobsGoOn(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 6 * time.Second } })
		kept := &http.Client{Transport: &http.Transport{DialContext: d.network.Dial, MaxConnsPerHost: 1}}
		defer kept.CloseIdleConnections()
		ask := func(key string) int {
			status, _, _ := d.asks(kept, 0, http.MethodGet, jobA, key, nil)
			return status
		}
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, short), quicktest.Equals, 200)
		time.Sleep(time.Second)
		c.Assert(ask(keyA), quicktest.Equals, 200)
		d.publishes(3, organisation{Name: "org-a", Keys: []string{keyNew}, Weight: 10})
		time.Sleep(3 * time.Second)
		c.Assert(ask(keyA), quicktest.Equals, 401)
		c.Assert(ask(keyNew), quicktest.Equals, 200)
		c.Assert(d.status(1, http.MethodPost, jobB, keyB, short), quicktest.Equals, 401)
		d.publishes(4) // its last key, and the organisation with it
		time.Sleep(3 * time.Second)
		c.Assert(ask(keyNew), quicktest.Equals, 401, quicktest.Commentf("a key must not open what it opened by being the last that was withdrawn"))
		d.publishes(5, both()...)
		time.Sleep(3 * time.Second)
		d.awaitFor(1, jobA, keyA, "succeeded", 5*time.Second)
		c.Assert(d.platform.Runs(), quicktest.HasLen, 1)
	})
}

func TestABrokenConfigurationChangesNothingAndIsTold(t *testing.T) {
	for name, broken := range map[string][]organisation{
		"an organisation twice": {{Name: "org-a", Keys: []string{keyNew}, Weight: 1}, {Name: "org-a", Weight: 1}},
		"a key for two":         {{Name: "org-a", Keys: []string{keyNew}, Weight: 1}, {Name: "org-b", Keys: []string{keyNew}, Weight: 1}},
		"a negative cap":        {{Name: "org-a", Keys: []string{keyNew}, Weight: 1, Cap: map[string]int{"Cpu": -1}}},
		"no weight":             {{Name: "org-a", Keys: []string{keyNew}}},
	} {
		t.Run(name, func(t *testing.T) {
			onFakeTime(t, func(c *quicktest.C) {
				d := deployKeyed(c, 1, 1, nil)
				d.publishes(3, broken...)
				time.Sleep(3 * time.Second)
				c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 401)
				c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 410)
				told := ""
				for _, e := range d.nodes[0].node.Events.Since(0) {
					if e.Number == event.RecordRefused {
						told = e.Text
					}
				}
				c.Assert(told, quicktest.Contains, "configuration 3: organisation")
				c.Assert(strings.Contains(told, keyNew), quicktest.IsFalse)
			})
		})
	}
}

// TestAnotherOrganisationsJobIsUnknown tries what one organisation may learn of, or do to, a job of another, also with its ID.
func TestAnotherOrganisationsJobIsUnknown(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 3, 3, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 8 * time.Second } })
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, short), quicktest.Equals, 200)
		time.Sleep(time.Second)
		c.Assert(d.status(1, http.MethodGet, jobA, keyB), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodDelete, jobA, keyB), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodGet, publicPrefix+"00000000000000a1", ""), quicktest.Equals, 410)
		c.Assert(d.status(1, http.MethodPost, jobA, keyB, step{Count: 9, Cpu: 100, MemMb: 10}), quicktest.Equals, 200, quicktest.Commentf("nothing tells it apart at hand-in"))
		time.Sleep(500 * time.Millisecond)
		d.awaitFor(2, jobA, keyB, "failed", time.Second)
		c.Assert(d.status(1, http.MethodDelete, jobA, keyB), quicktest.Equals, 200)
		lost := d.leader()
		d.nodes[lost].cancel()
		<-d.nodes[lost].ended
		d.awaitFor((lost+1)%3, jobA, keyA, "succeeded", 15*time.Second)
		d.awaitFor((lost+2)%3, jobA, keyB, "failed", time.Second)
		runs := d.platform.Runs()
		c.Assert(runs, quicktest.HasLen, 1)
		c.Assert(runs[0].How, quicktest.Equals, "done")
	})
}

// TestAnEntryThatIsCutOffSaysSo weighs 401 against 503 on both sides: a key that may be new is not called unknown, and one that may have been
// withdrawn opens no longer than the bounds allow.
func TestAnEntryThatIsCutOffSaysSo(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		d.platform.SetFaults(func(address, _ string) platformtest.Fault {
			if address == platformtest.StoreAddress {
				return platformtest.Refuse
			}
			return platformtest.None
		})
		time.Sleep(time.Second)
		c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 401, quicktest.Commentf("surely unknown"))
		time.Sleep(testApply)
		status, header, body := d.asks(d.client, 0, http.MethodGet, jobA, keyNew, nil)
		c.Assert(status, quicktest.Equals, 503, quicktest.Commentf("%s", body))
		c.Assert(header.Get("Retry-After"), quicktest.Equals, "1")
		c.Assert(d.status(0, http.MethodGet, "/nowhere/x", keyA), quicktest.Equals, 503, quicktest.Commentf("the queue may be new"))
		c.Assert(d.status(0, http.MethodGet, testPrefix, keyA), quicktest.Equals, 200, quicktest.Commentf("what it can serve it goes on serving"))
		time.Sleep(testSkew)
		c.Assert(d.status(0, http.MethodGet, testPrefix, keyA), quicktest.Equals, 503, quicktest.Commentf("not for ever"))
		d.platform.SetFaults(nil)
		d.publishes(3, organisation{Name: "org-a", Keys: []string{keyNew}, Weight: 1})
		time.Sleep(3 * time.Second)
		c.Assert(d.status(0, http.MethodGet, jobA, keyNew), quicktest.Equals, 410)
		c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 401)
	})
}

// TestNoKeyIsFoundAnywhere looks through all that a deployment tells and keeps after calls with known, unknown and withdrawn keys.
func TestNoKeyIsFoundAnywhere(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 2, 2, nil)
		keys := []string{keyA, keyB, keyNew, "never-known-key-0123"}
		for i, key := range keys {
			for _, method := range [...]string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				_, _, body := d.asks(d.client, i%2, method, testPrefix+fmt.Sprintf("%016x", i), key, map[string]any{"Steps": []step{short}})
				for _, k := range keys {
					c.Check(strings.Contains(body, k), quicktest.IsFalse)
				}
			}
		}
		d.publishes(3, organisation{Name: "org-a", Keys: []string{keyNew, keyNew}})
		time.Sleep(5 * time.Second)
		var told bytes.Buffer
		for _, n := range d.nodes {
			for _, e := range n.node.Events.Since(0) {
				fmt.Fprintf(&told, "%+v\n", e)
			}
		}
		d.platform.Store.Each(func(topic, key string, value []byte) {
			if !strings.HasPrefix(topic, "keyed.op/") {
				fmt.Fprintf(&told, "%s %s %s\n", topic, key, value)
			}
		})
		c.Assert(told.Len() > 1000, quicktest.IsTrue)
		for _, key := range keys {
			c.Check(bytes.Contains(told.Bytes(), []byte(key)), quicktest.IsFalse, quicktest.Commentf("key %s", key))
		}
	})
}

// TestACapHoldsOverTakeovers hands in more than an organisation may have running, lowers the cap and loses the leader twice; the recount is of what
// workers ran.
func TestACapHoldsOverTakeovers(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 3, 6, func(p *platformtest.Platform) { p.Takes = func(string) time.Duration { return 3 * time.Second } })
		capped := func(version, cpu int) {
			d.publishes(version, organisation{Name: "org-a", Keys: []string{keyA}, Weight: 10, Cap: map[string]int{"Cpu": cpu}}, both()[1])
		}
		capped(3, 5000)
		time.Sleep(2 * time.Second)
		for i := range 8 {
			c.Assert(d.status(i%3, http.MethodPost, testPrefix+fmt.Sprintf("%016x", i), keyA, step{Count: 3, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		}
		c.Assert(d.status(0, http.MethodPost, jobB, keyB, step{Count: 4, Cpu: 1000, MemMb: 100}), quicktest.Equals, 200)
		d.awaitFor(1, jobB, keyB, "succeeded", 5*time.Second) // what waits for a cap keeps no room from others
		capped(4, 3000)
		lowered := time.Now().Add(3 * time.Second)
		for range 2 {
			lost := d.leader()
			d.nodes[lost].cancel()
			<-d.nodes[lost].ended
			d.nodes[lost] = d.start(lost)
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
			beside, most := 0, 5
			if x.From.After(lowered) {
				most = 3
			}
			for _, o := range d.platform.Runs() {
				if !strings.HasPrefix(o.Task, "00000000000000b2") && !o.From.After(x.From) && o.To.After(x.From) {
					beside++
				}
			}
			c.Check(beside <= most, quicktest.IsTrue, quicktest.Commentf("%s began as number %d of %d", x.Task, beside, most))
		}
	})
}

func TestAGangThatNoCapAllowsIsRefusedAtOnce(t *testing.T) {
	onFakeTime(t, func(c *quicktest.C) {
		d := deployKeyed(c, 1, 3, nil)
		d.publishes(3, organisation{Name: "org-a", Keys: []string{keyA}, Weight: 10, Cap: map[string]int{"Cpu": 3000}})
		time.Sleep(3 * time.Second)
		gang := step{Count: 4, Cpu: 1000, MemMb: 10, Gang: true}
		status, _, body := d.asks(d.client, 0, http.MethodPost, jobA, keyA, map[string]any{"Steps": []step{gang}})
		c.Assert(status, quicktest.Equals, 400)
		c.Assert(body, quicktest.Contains, "make it smaller, or have the cap raised")
		c.Assert(d.status(0, http.MethodGet, jobA, keyA), quicktest.Equals, 410)
		gang.Count = 3
		c.Assert(d.status(0, http.MethodPost, jobA, keyA, gang), quicktest.Equals, 200)
		d.awaitFor(0, jobA, keyA, "succeeded", 5*time.Second)
	})
}
