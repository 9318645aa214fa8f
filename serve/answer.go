// SPDX-License-Identifier: MIT

package serve

import (
	"errors"
	"io"
	"net/http"
)

// answer is a target's answer on its way to the caller.
type answer struct {
	Status int
	Header http.Header
	// Body is the first part of the answer, all of it when Rest is nil.
	Body []byte
	Rest io.Reader
	// End is called once, with whether the whole answer was read; may be nil.
	End func(whole bool)
}

// bufferedAnswer is the size up to which an answer is read whole before its head is passed on.
const bufferedAnswer = 64 << 10

// errBroken means that an answer ended early.
var errBroken = errors.New("the target's answer ended early")

// readAnswer reads the first part of the answer; it fails when a small answer is not whole.
func readAnswer(resp *http.Response) (*answer, error) {
	a := &answer{Status: resp.StatusCode, Header: forwarded(resp.Header)}
	size := int64(bufferedAnswer)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	body := make([]byte, 0, size+1)
	for len(body) <= bufferedAnswer {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			a.Body = body
			return a, nil
		}
		if err != nil {
			return nil, errors.Join(errBroken, err)
		}
	}
	a.Body, a.Rest = body, resp.Body
	return a, nil
}

// copyTo writes the answer to the caller; when it is not whole the connection is broken off so that the caller sees it.
func (a *answer) copyTo(w http.ResponseWriter, id string) (whole bool) {
	defer func() {
		if a.End != nil {
			a.End(whole)
		}
	}()
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h[HeaderOutcome] = []string{string(OutcomeWhole)}
	h[HeaderRequest] = []string{id}
	if a.Rest == nil {
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body) // a caller that has gone can't be told
		return true
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return false
	}
	_, err := io.Copy(flushed{w}, a.Rest)
	return err == nil
}

// flushed passes each part of a long answer on at once.
type flushed struct{ http.ResponseWriter }

// Write writes p and flushes it.
func (f flushed) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		_ = http.NewResponseController(f.ResponseWriter).Flush() // a writer that can't flush sends later
	}
	return n, err
}
