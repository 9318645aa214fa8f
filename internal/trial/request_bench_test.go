// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"rackstep.dev/internal/standin"
	"rackstep.dev/serve"
)

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startPublished starts a site on loopback and publishes its configuration; the caller must stop it.
func startPublished(ctx context.Context, b *testing.B, spec Spec) *Site {
	site, err := Start(spec, nil)
	if err != nil {
		b.Fatal(err)
	}
	if err := site.Publish(ctx); err != nil {
		site.Stop()
		b.Fatal(err)
	}
	return site
}

// forwarder returns the baseline: a handler that forwards each request by one RoundTrip.
func forwarder(target string) http.Handler {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		out.Header = r.Header.Clone()
		out.ContentLength = r.ContentLength
		resp, err := t.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, v := range resp.Header {
			w.Header()[name] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body) // the client runs in this process
	})
}

// BenchmarkRequest reports the CPU time and the median latency of a request: direct to a target, through one and two bare
// forwarders, through the entry that owns the gate, and relayed by another entry. Client and target share the process.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site := startPublished(ctx, b, Spec{DataCentres: 1, EntriesEach: 2, Services: 1, RunnersEach: 4, Cores: 1, RackSize: 4})
	defer site.Stop()
	target, err := site.serve(nil, (&standin.Target{Instance: "x", Slots: 64}).Server())
	if err != nil {
		b.Fatal(err)
	}
	bare, err := site.serve(forwarder(target), nil)
	if err != nil {
		b.Fatal(err)
	}
	twice, err := site.serve(forwarder(bare), nil)
	if err != nil {
		b.Fatal(err)
	}
	owner, other := EntryName(0, 0), EntryName(0, 1)
	slots := func(name string) int {
		st, err := site.OperatorOf(name, OperatorToken).Status(ctx)
		if err != nil {
			return -1
		}
		return st.Slots
	}
	// Each entry holds a part of the slots until both agree on the owner.
	if err := site.Await(ctx, func() bool { return slots(owner)+slots(other) == 32 && slots(owner)*slots(other) == 0 }); err != nil {
		b.Fatal(err)
	}
	if slots(owner) == 0 {
		owner, other = other, owner
	}
	path := "/v1/services/" + ServiceName(0) + "/x"
	paths := []*requestPath{
		{name: "direct", url: "http://" + target + path},
		{name: "bare-forwarder", url: "http://" + bare + path},
		{name: "two-bare-forwarders", url: "http://" + twice + path},
		{name: "owner", url: "http://" + site.CallerOf(owner) + path},
		{name: "relayed", url: "http://" + site.CallerOf(other) + path},
	}
	for b.Loop() { // measure the paths in turn, since the speed of the machine varies
		for _, w := range paths {
			w.measure(b, site.http)
		}
	}
	for _, w := range paths {
		b.ReportMetric(w.cpuPerRequest(), w.name+"-cpu-us")
		b.ReportMetric(float64(w.median().Microseconds()), w.name+"-p50-us")
	}
	b.ReportMetric(paths[3].cpuPerRequest()/paths[1].cpuPerRequest(), "owner/forwarder")
	b.ReportMetric(paths[4].cpuPerRequest()/paths[2].cpuPerRequest(), "relayed/two-forwarders")
	b.ReportMetric(0, "ns/op")
}

// requestPath is a path to a target and the measurements of its requests.
type requestPath struct {
	name, url string
	cpuTime   time.Duration
	latencies []time.Duration
}

// requestsPerRound is the number of requests sent on a path in each round.
const requestsPerRound = 200

func (w *requestPath) cpuPerRequest() float64 {
	return float64(w.cpuTime.Microseconds()) / float64(len(w.latencies))
}

func (w *requestPath) median() time.Duration {
	slices.Sort(w.latencies)
	return w.latencies[len(w.latencies)/2]
}

func (w *requestPath) measure(b *testing.B, client *http.Client) {
	startCPU := processorTime()
	for range requestsPerRound {
		start := time.Now()
		w.send(b, client)
		w.latencies = append(w.latencies, time.Since(start))
	}
	w.cpuTime += processorTime() - startCPU
}

func (w *requestPath) send(b *testing.B, client *http.Client) {
	req, err := http.NewRequest(http.MethodGet, w.url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+TeamToken)
	resp, err := client.Transport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the latency includes the whole body
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, resp.Header.Get(serve.HeaderOutcome))
	}
}
