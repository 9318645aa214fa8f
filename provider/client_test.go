// SPDX-License-Identifier: MIT

package provider

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// answers is a transport that gives one answer to everything.
type answers struct {
	status int
	body   []byte
}

func (a answers) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

func clientOf(status int, body []byte) *Client {
	return &Client{URL: "http://127.0.0.1:1", HTTP: &http.Client{Transport: answers{status, body}}}
}

func TestATaskOfAnInstanceThatHasGoneIsStopped(t *testing.T) {
	c := quicktest.New(t)
	r, err := clientOf(404, nil).Task(context.Background(), "i", "j.1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(r, quicktest.DeepEquals, TaskReport{State: TaskStopped})
}

func TestUsageIsUnknownWhenThePlatformLeavesItOut(t *testing.T) {
	c := quicktest.New(t)
	r, err := clientOf(200, []byte(`{"state":"running"}`)).StartTask(context.Background(), "i", "j.1", Task{})
	c.Assert(err, quicktest.IsNil)
	c.Assert(r.Usage, quicktest.IsNil)
	r, err = clientOf(200, []byte(`{"state":"running","usage":{"cores":1.5,"memory_mb":20,"ran":1000}}`)).Task(context.Background(), "i", "j.1")
	c.Assert(err, quicktest.IsNil)
	c.Assert(*r.Usage, quicktest.Equals, Usage{Cores: 1.5, MemoryMB: 20, RunTime: 1000})
}

// FuzzAnswers reads whatever the platform may say about instances, commands and tasks.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"instances":[{"id":"i","role":"worker","cores":4}]}`))
	f.Add(200, []byte(`{"state":"running","usage":{"cores":-1}}`))
	f.Add(304, []byte(``))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		p := clientOf(status, body)
		ctx := context.Background()
		if l, err := p.Instances(ctx, "tag"); err == nil && status != http.StatusOK && !l.Unchanged {
			t.Fatalf("status %d was taken for a list", status)
		}
		if s, err := p.Command(ctx, "i", "c"); err == nil && status != http.StatusOK {
			t.Fatalf("status %d was taken for state %q", status, s)
		}
		if r, err := p.Task(ctx, "i", "t"); err == nil && status != http.StatusOK && r.State != TaskStopped {
			t.Fatalf("status %d was taken for state %q", status, r.State)
		}
	})
}
