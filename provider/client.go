// SPDX-License-Identifier: MIT

package provider

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
)

// Client is the client of the platform's HTTP interface. It is safe for concurrent use.
type Client struct {
	// URL is the base URL of the platform.
	URL string
	// HTTP sends the requests; nil uses http.DefaultClient.
	HTTP *http.Client
	// Timeout limits one call; 0 means 2 seconds.
	Timeout time.Duration
}

// Role is the kind of a listed instance.
type Role string

// Roles of a listed instance.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)

// Instance is one row of the instance list, which may lag behind the actual state.
type Instance struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Address is the IP address and port of the target on a worker.
	Address  string `json:"address"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	// Leaving means that the platform is going to remove the instance.
	Leaving bool `json:"leaving"`
	// Boot changes whenever an entry instance restarts.
	Boot string `json:"boot"`
}

// CommandState is the state of a command as reported by the platform.
type CommandState string

// States of a command.
const (
	CommandUnknown CommandState = "unknown" // never received; may still arrive until its NotAfter
	CommandRunning CommandState = "running"
	CommandDone    CommandState = "done"
	CommandExpired CommandState = "expired" // received after its NotAfter and not executed
)

// Verb is the action that a command performs on its instance.
type Verb string

// Verbs of commands.
const (
	VerbReboot Verb = "reboot"
	VerbStop   Verb = "stop"
)

// Command is a one-shot action on an instance.
type Command struct {
	Verb Verb `json:"verb"`
	// NotAfter is the time, by the platform's clock, after which the platform must not begin the command.
	NotAfter time.Time `json:"not_after"`
}

// TaskState is the state of a task as reported by the platform.
type TaskState string

// States of a task.
const (
	TaskUnknown      TaskState = "unknown" // never received; a start may still arrive
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskVoid         TaskState = "void" // never started, and never will
)

// Task describes a task to run under a lease.
type Task struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Command  string `json:"command"`
	// Continue resumes the task from the checkpoint of an earlier attempt.
	Continue bool `json:"continue"`
	// Lease is the time for which the task may run without a renewal, in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Limit is the number of cores that the task may use from now on; as many as it finds when 0.
	Limit int `json:"limit,omitempty"`
}

// Usage is the resource usage of a task, which the platform reports with a delay.
type Usage struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	// RunTime is how long the task had run when it was measured, in nanoseconds.
	RunTime time.Duration `json:"ran"`
}

// TaskReport is the platform's report on a task.
type TaskReport struct {
	State TaskState `json:"state"`
	// Usage is nil while it is not known yet.
	Usage *Usage `json:"usage"`
}

// RenewLeases is a request to renew the leases of tasks on one instance.
type Hold struct {
	// Lease is the time for which each task may run without another renewal, in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Wait is the maximum time for which the response is held back until a task ends, in nanoseconds.
	Wait time.Duration `json:"wait"`
	// Tasks holds the tasks by ID.
	Tasks map[string]HoldTask `json:"tasks"`
}

// HoldTask is the part of a Hold that concerns one task.
type HoldTask struct {
	// Limit is the number of cores that the task may use from now on; as many as it finds when 0.
	Limit int `json:"limit,omitempty"`
}

// InstanceList is a response with the instance list.
type InstanceList struct {
	Instances []Instance
	// Tag is the HTTP entity tag of the response; empty if there was none.
	Tag string
	// Compressed means that the response body was compressed in transit.
	Compressed bool
	// Unchanged means that the list still has the requested tag. Instances is then empty.
	Unchanged bool
}

// Instances returns the list of live and leaving instances. If the list still has the given tag, Unchanged is set instead.
func (c *Client) Instances(ctx context.Context, tag string) (InstanceList, error) {
	var answer struct {
		Instances []Instance `json:"instances"`
	}
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	got, err := c.do(ctx, http.MethodGet, "/v1/instances", header, nil, &answer)
	if errors.Is(err, errNotModified) {
		return InstanceList{Tag: tag, Unchanged: true}, nil
	}
	return InstanceList{Instances: answer.Instances, Tag: got.Get("ETag"), Compressed: got.Get(compressedHeader) != ""}, err
}

// RunCommand requests the command and returns its state. The platform executes a command ID at most once.
func (c *Client) RunCommand(ctx context.Context, instance, id string, cmd Command) (CommandState, error) {
	return c.command(ctx, http.MethodPut, instance, id, cmd)
}

// Command returns the state of a command.
func (c *Client) Command(ctx context.Context, instance, id string) (CommandState, error) {
	return c.command(ctx, http.MethodGet, instance, id, nil)
}

func (c *Client) command(ctx context.Context, method, instance, id string, body any) (CommandState, error) {
	var answer struct {
		State CommandState `json:"state"`
	}
	path := "/v1/instances/" + url.PathEscape(instance) + "/commands/" + url.PathEscape(id)
	err := c.call(ctx, method, path, body, &answer)
	return answer.State, err
}

// StartTask starts the task, or renews its lease if it is already known, and returns its report. The platform runs a task ID at most once.
func (c *Client) StartTask(ctx context.Context, instance, id string, t Task) (TaskReport, error) {
	return c.task(ctx, http.MethodPut, instance, id, "", t)
}

// RenewLeases renews the leases and returns a report on each task. It responds as soon as one of the tasks is not running, or after h.Wait.
func (c *Client) RenewLeases(ctx context.Context, instance string, h Hold) (map[string]TaskReport, error) {
	var answer struct {
		Tasks map[string]TaskReport `json:"tasks"`
	}
	longPoll := *c
	longPoll.Timeout = c.timeout() + h.Wait
	err := longPoll.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/hold", h, &answer)
	if errors.Is(err, errNoInstance) {
		return allStopped(h.Tasks), nil // the instance was removed, along with its tasks
	}
	return answer.Tasks, err
}

// allStopped reports every task as stopped.
func allStopped(tasks map[string]HoldTask) map[string]TaskReport {
	reports := make(map[string]TaskReport, len(tasks))
	for id := range tasks {
		reports[id] = TaskReport{State: TaskStopped}
	}
	return reports
}

// Task returns the report on a task.
func (c *Client) Task(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodGet, instance, id, "", nil)
}

// Checkpoint saves the progress of the task, stops it and returns its report.
func (c *Client) Checkpoint(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodPost, instance, id, "/checkpoint", nil)
}

// StopTask stops the task and returns its final report. If the task has not started, its ID becomes void and can never run.
func (c *Client) StopTask(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodDelete, instance, id, "", nil)
}

func (c *Client) task(ctx context.Context, method, instance, id, suffix string, body any) (TaskReport, error) {
	var answer TaskReport
	path := "/v1/instances/" + url.PathEscape(instance) + "/tasks/" + url.PathEscape(id) + suffix
	err := c.call(ctx, method, path, body, &answer)
	if errors.Is(err, errNoInstance) {
		return TaskReport{State: TaskStopped}, nil // the instance was removed, along with its tasks
	}
	return answer, err
}

// errNoInstance means that the platform does not know the instance.
var errNoInstance = errors.New("the platform does not know the instance")

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	_, err := c.do(ctx, method, path, http.Header{}, body, answer)
	return err
}

// compressedHeader is added to the returned headers of a response that was compressed in transit.
const compressedHeader = "Rackstep-Compressed"

// errNotModified means that the resource still has the requested entity tag.
var errNotModified = errors.New("not modified")

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

const defaultTimeout = 2 * time.Second

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body, answer any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, content)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", method, path, err)
	}
	req.Header = header
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, errNotModified
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("platform %s %s: %w", method, path, errNoInstance)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("platform %s %s: status %d", method, path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(answer); err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", method, path, err)
	}
	if resp.Uncompressed {
		resp.Header.Set(compressedHeader, "yes") // the transport removes Content-Encoding when it decompresses
	}
	return resp.Header, nil
}
