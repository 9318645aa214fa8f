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

// Client calls the platform; its methods may be used by several goroutines.
type Client struct {
	// URL is the platform's base address.
	URL string
	// HTTP sends the requests; http.DefaultClient when nil.
	HTTP *http.Client
	// Timeout bounds one call; 2s when 0.
	Timeout time.Duration
}

// Role tells the two kinds of listed instances apart.
type Role string

// Roles of a listed instance.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)

// Instance is one row of the instance list; the list lags.
type Instance struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Address is the IP address and port of the target on a worker.
	Address  string `json:"address"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	// Leaving says that the platform will take the instance away.
	Leaving bool `json:"leaving"`
	// Boot tells two lives of an entry instance apart.
	Boot string `json:"boot"`
}

// CommandState is what the platform says of a command.
type CommandState string

// States of a command.
const (
	CommandUnknown CommandState = "unknown" // never seen; it may still arrive until its NotAfter
	CommandRunning CommandState = "running"
	CommandDone    CommandState = "done"
	CommandExpired CommandState = "expired" // it arrived after its NotAfter and did nothing
)

// Verb is what a command does to its instance.
type Verb string

// Verbs of a Command.
const (
	VerbReboot Verb = "reboot"
	VerbStop   Verb = "stop"
)

// Command is a one-shot action on an instance.
type Command struct {
	Verb Verb `json:"verb"`
	// NotAfter is when the platform must no longer begin the command, by the platform's clock.
	NotAfter time.Time `json:"not_after"`
}

// TaskState is what the platform says of a task.
type TaskState string

// States of a task.
const (
	TaskUnknown      TaskState = "unknown" // never seen; a start may still arrive
	TaskRunning      TaskState = "running"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskVoid         TaskState = "void" // it never began and never will
)

// Task is a piece of work under a lease.
type Task struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Command  string `json:"command"`
	// Continue resumes from the checkpoint of an earlier attempt.
	Continue bool `json:"continue"`
	// Lease is how long the task may run without a renewal, in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Limit is the number of cores that the task may use from now on; as many as it finds when 0.
	Limit int `json:"limit,omitempty"`
}

// Usage is what a task used a while ago; the platform reports it with a lag.
type Usage struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	// RunTime is how long the task had run, in nanoseconds.
	RunTime time.Duration `json:"ran"`
}

// TaskReport is the platform's answer about a task.
type TaskReport struct {
	State TaskState `json:"state"`
	// Usage is nil when the platform does not know it yet.
	Usage *Usage `json:"usage"`
}

// RenewLeases renews the leases of tasks of one instance.
type Hold struct {
	// Lease is how long each may run without another renewal, in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Wait is how long the answer may wait for one of them to end, in nanoseconds.
	Wait time.Duration `json:"wait"`
	// Tasks are the tasks by ID.
	Tasks map[string]HoldTask `json:"tasks"`
}

// HoldTask is what a Hold says of one task.
type HoldTask struct {
	// Limit is the number of cores that the task may use from now on; as many as it finds when 0.
	Limit int `json:"limit,omitempty"`
}

// InstanceList is an answer of the instance list.
type InstanceList struct {
	Instances []Instance
	// Tag names the answer (an HTTP entity tag); empty when the platform gives none.
	Tag string
	// Compressed says that the answer travelled compressed.
	Compressed bool
	// Unchanged says that the list is still the one with the tag asked about; Instances is then empty.
	Unchanged bool
}

// Instances returns the list of live and leaving instances, or says that it is still the one with the tag.
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
	return InstanceList{Instances: answer.Instances, Tag: got.Get("ETag"), Compressed: got.Get(compressedMark) != ""}, err
}

// RunCommand asks for the command and returns its state; the same ID runs once.
func (c *Client) RunCommand(ctx context.Context, instance, id string, cmd Command) (CommandState, error) {
	return c.command(ctx, http.MethodPut, instance, id, cmd)
}

// Command returns the state of the command.
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

// StartTask starts the task or renews its lease and returns what is known of it; the same ID runs once.
func (c *Client) StartTask(ctx context.Context, instance, id string, t Task) (TaskReport, error) {
	return c.task(ctx, http.MethodPut, instance, id, "", t)
}

// RenewLeases renews the leases and returns what is known of each task: as soon as one of them does not run, or after the wait.
func (c *Client) RenewLeases(ctx context.Context, instance string, h Hold) (map[string]TaskReport, error) {
	var answer struct {
		Tasks map[string]TaskReport `json:"tasks"`
	}
	waiting := *c
	waiting.Timeout = c.timeout() + h.Wait
	err := waiting.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/hold", h, &answer)
	if errors.Is(err, errNoInstance) {
		return stopped(h.Tasks), nil // the platform has taken the instance away, and what ran on it
	}
	return answer.Tasks, err
}

func stopped(tasks map[string]HoldTask) map[string]TaskReport {
	reports := make(map[string]TaskReport, len(tasks))
	for id := range tasks {
		reports[id] = TaskReport{State: TaskStopped}
	}
	return reports
}

// Task returns what is known of the task.
func (c *Client) Task(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodGet, instance, id, "", nil)
}

// Checkpoint stops the task with its progress kept and returns its state.
func (c *Client) Checkpoint(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodPost, instance, id, "/checkpoint", nil)
}

// StopTask stops the task, or makes its ID unusable when it has not begun, and returns its final state.
func (c *Client) StopTask(ctx context.Context, instance, id string) (TaskReport, error) {
	return c.task(ctx, http.MethodDelete, instance, id, "", nil)
}

func (c *Client) task(ctx context.Context, method, instance, id, suffix string, body any) (TaskReport, error) {
	var answer TaskReport
	path := "/v1/instances/" + url.PathEscape(instance) + "/tasks/" + url.PathEscape(id) + suffix
	err := c.call(ctx, method, path, body, &answer)
	if errors.Is(err, errNoInstance) {
		return TaskReport{State: TaskStopped}, nil // the platform has taken the instance away, and what ran on it
	}
	return answer, err
}

// errNoInstance means that the platform does not know the instance.
var errNoInstance = errors.New("the platform does not know the instance")

const maxAnswer = 16 << 20

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	_, err := c.do(ctx, method, path, http.Header{}, body, answer)
	return err
}

// compressedMark stands in the returned headers of an answer that travelled compressed.
const compressedMark = "Rackstep-Compressed"

// errNotModified means that the answer is the one that the tag names.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(answer); err != nil {
		return nil, fmt.Errorf("platform %s %s: %w", method, path, err)
	}
	if resp.Uncompressed {
		resp.Header.Set(compressedMark, "yes") // the transport has taken the encoding's own header away
	}
	return resp.Header, nil
}
