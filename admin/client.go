// SPDX-License-Identifier: MIT

package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

// Client calls the operators' interface of one entry.
type Client struct {
	// Address is the entry's operator address, an IP address and a port.
	Address string
	Token   string
	// TLS says that the entry's address is protected; HTTP must then trust its authority.
	TLS bool
	// HTTP sends the requests; http.DefaultClient when nil.
	HTTP *http.Client
}

// ErrUnreachable means that no answer came from the entry.
var ErrUnreachable = errors.New("the entry can't be reached; name another one with --entry")

// clientTime bounds one call; it is longer than the entry's own wait for the log.
const clientTime = callTime + 3*time.Second

// Apply publishes the configuration.
func (c *Client) Apply(ctx context.Context, a ApplyRequest) (Accepted, error) {
	var out Accepted
	return out, c.call(ctx, http.MethodPut, "/v1/configuration", a, &out)
}

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (CurrentConfiguration, error) {
	var out CurrentConfiguration
	return out, c.call(ctx, http.MethodGet, "/v1/configuration", nil, &out)
}

// Status returns what the entry knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
}

// Instances returns every instance.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	var out struct {
		Instances []fleet.Instance `json:"instances"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/instances", nil, &out)
	return out.Instances, err
}

// Jobs returns every job.
func (c *Client) Jobs(ctx context.Context) ([]fleet.Job, error) {
	var out struct {
		Jobs []fleet.Job `json:"jobs"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/jobs", nil, &out)
	return out.Jobs, err
}

// Result returns what the entry knows of a record.
func (c *Client) Result(ctx context.Context, id string) (RecordResult, error) {
	var out RecordResult
	return out, c.call(ctx, http.MethodGet, "/v1/results/"+url.PathEscape(id), nil, &out)
}

// Plan asks for a plan; nothing happens until it is confirmed.
func (c *Client) Plan(ctx context.Context, i fleet.Intent) (fleet.Plan, error) {
	var out fleet.Plan
	return out, c.call(ctx, http.MethodPost, "/v1/plans", i, &out)
}

// GetPlan returns the plan.
func (c *Client) GetPlan(ctx context.Context, id string) (fleet.Plan, error) {
	var out fleet.Plan
	return out, c.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(id), nil, &out)
}

// Order confirms, pauses, resumes or cancels the plan.
func (c *Client) Order(ctx context.Context, plan string, o fleet.Order) (Accepted, error) {
	var out Accepted
	return out, c.call(ctx, http.MethodPost, "/v1/plans/"+url.PathEscape(plan)+"/"+string(o), nil, &out)
}

// TimeLine returns the events about the subject of all entries that the entry reaches.
func (c *Client) TimeLine(ctx context.Context, about event.Subject) (TimeLine, error) {
	q := url.Values{}
	for name, v := range map[string]string{"plan": about.Plan, "instance": about.Instance, "job": about.Job, "request": about.Request} {
		if v != "" {
			q.Set(name, v)
		}
	}
	var out TimeLine
	return out, c.call(ctx, http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &out)
}

const maxAnswer = 64 << 20

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTime)
	defer cancel()
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		content = bytes.NewReader(b)
	}
	scheme := "http://"
	if c.TLS {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+c.Address+path, content)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return problemOf(resp, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read the entry's answer: %w", err)
	}
	return nil
}

func problemOf(resp *http.Response, data []byte) error {
	var p struct {
		Detail  string        `json:"detail"`
		Outcome serve.Outcome `json:"outcome"`
		Reason  serve.Reason  `json:"reason"`
		Remedy  string        `json:"remedy"`
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("the entry answered with status %d", resp.StatusCode)
	}
	return &serve.Problem{Status: resp.StatusCode, Outcome: p.Outcome, Reason: p.Reason, Detail: p.Detail, Remedy: p.Remedy}
}
