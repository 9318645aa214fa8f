// SPDX-License-Identifier: MIT

package feed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Errors of a Log.
var (
	// ErrUnavailable means that the log did not accept the batch; it can safely be sent again.
	ErrUnavailable = errors.New("log unavailable; the batch was not appended, try again later")
	// ErrUncertain means that the batch may have been appended; look for its records before sending it again.
	ErrUncertain = errors.New("no answer from the log; read on to see whether the batch was appended")
)

// TrimmedError means that the log no longer has the requested offset.
type TrimmedError struct {
	// First is the oldest offset that the log still has.
	First int64
}

// Error names the oldest available offset and the remedy.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log is trimmed, its oldest record has offset %d; fetch the tables from a peer", e.First)
}

// maxPageBytes bounds the size of a response to a read.
const maxPageBytes = 64 << 20

// Log is one named log of the platform's log service.
type Log struct {
	// URL is the service's base address.
	URL  string
	Name string
	// Client sends the requests; http.DefaultClient when nil.
	Client *http.Client
	// Timeout bounds an append, and a read in addition to its wait; 2s when 0.
	Timeout time.Duration
	// Clock is updated from the Date headers of responses; optional.
	Clock *Clock
}

// Page is a run of consecutive records.
type Page struct {
	// First is the oldest offset in the log, Next the offset after its newest record.
	First, Next int64
	Records     []Entry
}

// Entry is one record and its offset in the log.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

func (l *Log) client() *http.Client {
	if l.Client != nil {
		return l.Client
	}
	return http.DefaultClient
}

func (l *Log) timeout() time.Duration {
	if l.Timeout > 0 {
		return l.Timeout
	}
	return 2 * time.Second
}

func (l *Log) recordsURL() string {
	return l.URL + "/v1/logs/" + url.PathEscape(l.Name) + "/records"
}

// Append adds the records in one batch and returns the offset of the first one. A failed request yields ErrUnavailable or
// ErrUncertain.
func (l *Log) Append(ctx context.Context, records [][]byte) (int64, error) {
	body, err := json.Marshal(struct {
		Records [][]byte `json:"records"`
	}{records})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", l.Name, err)
	}
	req.GetBody = nil // prevents net/http from silently sending the append twice
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.client().Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer resp.Body.Close()
	l.Clock.update(resp.Header)
	var answer struct {
		Offset int64 `json:"offset"`
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<10)).Decode(&answer); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrUncertain, err)
		}
		return answer.Offset, nil
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return 0, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	return 0, fmt.Errorf("%w: status %d", ErrUncertain, resp.StatusCode)
}

// appendError distinguishes a connection that was never made, so that nothing was appended, from a missing response.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUncertain, err)
}

// Read returns records starting at offset from. It waits up to wait for the first one.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+l.timeout())
	defer cancel()
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.recordsURL()+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", l.Name, err)
	}
	resp, err := l.client().Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", l.Name, err)
	}
	defer resp.Body.Close()
	l.Clock.update(resp.Header)
	var answer struct {
		First   int64   `json:"first"`
		Next    int64   `json:"next"`
		Records []Entry `json:"records"`
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Page{}, fmt.Errorf("read %s: status %d", l.Name, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&answer); err != nil {
		return Page{}, fmt.Errorf("read %s: %w", l.Name, err)
	}
	if resp.StatusCode == http.StatusGone {
		return Page{}, &TrimmedError{First: answer.First}
	}
	return Page{First: answer.First, Next: answer.Next, Records: answer.Records}, nil
}

// AppendOne adds one record. Its errors are those of Append.
func (l *Log) AppendOne(ctx context.Context, record []byte) error {
	_, err := l.Append(ctx, [][]byte{record})
	return err
}
