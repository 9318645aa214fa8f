// SPDX-License-Identifier: MIT

package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rackstep.dev/serve"
)

// Reply is the reply that a caller received to one request.
type Reply struct {
	Mark       string
	Repeatable bool
	Outcome    serve.Outcome
	Reason     serve.Reason
	Status     int
	// Mismatched reports that the answer belongs to another request.
	Mismatched bool
	// NoAnswer reports that the connection ended without a complete answer.
	NoAnswer bool
	Latency  time.Duration
}

// Load sends requests to a site and records the replies.
type Load struct {
	Site *Site
	// Callers is the number of concurrent callers.
	Callers int
	// Work is the processing time of a request at its target.
	Work time.Duration
	// Pause is the delay between two requests of one caller.
	Pause time.Duration

	mu       sync.Mutex
	replies  []Reply
	lastMark atomic.Int64
}

// Run sends requests until the context is done, then waits for the replies to those in flight.
func (l *Load) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range l.Callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				l.sendNext(random)
				sleep(ctx, l.Pause)
			}
		})
	}
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendNext sends a request. One in ten must not be repeated, and half of those are sent as two concurrent copies.
func (l *Load) sendNext(random *rand.Rand) {
	mark := fmt.Sprintf("m%d", l.lastMark.Add(1))
	service := ServiceName(random.IntN(l.Site.Spec.Services))
	callers := l.Site.Callers()
	if len(callers) == 0 {
		time.Sleep(10 * time.Millisecond)
		return
	}
	entry := func() string { return callers[random.IntN(len(callers))] }
	if random.IntN(10) > 0 {
		l.record(l.Send(entry(), l.repeatableRequest(service, mark, random.IntN(20) == 0)))
		return
	}
	notAfter := time.Now().Add(30 * time.Second)
	copies := 1 + random.IntN(2)
	first, second := entry(), entry()
	var wg sync.WaitGroup
	for i := range copies {
		to := first
		if i > 0 {
			to = second
		}
		wg.Go(func() { l.record(l.Send(to, l.onceRequest(service, mark, notAfter))) })
	}
	wg.Wait()
}

// Request is a request to a service; Mark identifies it at the targets, also when it is sent several times.
type Request struct {
	Service, Mark string
	Repeatable    bool
	Header        http.Header
	Work          time.Duration
	Size          int
}

func (l *Load) repeatableRequest(service, mark string, urgent bool) Request {
	r := Request{Service: service, Mark: mark, Repeatable: true, Header: http.Header{}, Work: l.Work}
	if urgent {
		r.Header.Set(serve.HeaderPriority, "urgent")
	}
	return r
}

func (l *Load) onceRequest(service, mark string, notAfter time.Time) Request {
	r := Request{Service: service, Mark: mark, Header: http.Header{}, Work: l.Work}
	r.Header.Set(serve.HeaderKey, mark)
	r.Header.Set(serve.HeaderNotAfter, notAfter.UTC().Format(time.RFC3339Nano))
	return r
}

// Send sends one request to the entry and returns the reply.
func (l *Load) Send(entry string, r Request) (t Reply) {
	t = Reply{Mark: r.Mark, Repeatable: r.Repeatable}
	start := time.Now()
	defer func() { t.Latency = time.Since(start) }()
	method := http.MethodGet
	if !r.Repeatable {
		method = http.MethodPost
	}
	path := fmt.Sprintf("/v1/services/%s/%s?mark=%s&ms=%g&size=%d", r.Service, r.Mark, r.Mark, float64(r.Work)/float64(time.Millisecond), r.Size)
	req, err := http.NewRequest(method, "http://"+entry+path, http.NoBody)
	if err != nil {
		t.NoAnswer = true
		return t
	}
	for name, v := range r.Header {
		req.Header[name] = v
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+TeamToken)
	}
	resp, err := l.Site.http.Transport.RoundTrip(req)
	if err != nil {
		t.NoAnswer = true
		return t
	}
	defer resp.Body.Close()
	l.readReply(resp, r, &t)
	return t
}

func (l *Load) readReply(resp *http.Response, r Request, t *Reply) {
	t.Status = resp.StatusCode
	t.Outcome = serve.Outcome(resp.Header.Get(serve.HeaderOutcome))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.NoAnswer = true
		return
	}
	var answer struct {
		Path   string       `json:"path"`
		Mark   string       `json:"mark"`
		Reason serve.Reason `json:"reason"`
	}
	err = json.Unmarshal(body, &answer)
	t.Reason = answer.Reason
	if t.Outcome == serve.OutcomeWhole && resp.StatusCode == http.StatusOK {
		t.Mismatched = err != nil || answer.Mark != r.Mark || strings.TrimPrefix(answer.Path, "/") != r.Mark
	}
}

func (l *Load) record(t Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, t)
}

// Replies returns the replies recorded so far.
func (l *Load) Replies() []Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Reply(nil), l.replies...)
}
