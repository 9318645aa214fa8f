// SPDX-License-Identifier: MIT

package serve

import (
	"errors"
	"io"
	"net/http"
)

// response is a target's response that is being passed on to the caller.
type response struct {
	Status int
	Header http.Header
	// Body is the first part of the body, or the whole body when Rest is nil.
	Body []byte
	// Rest reads what follows Body; nil when Body is the whole body.
	Rest io.Reader
	// Finish is called once, with whether the whole body was read; may be nil.
	Finish func(complete bool)
}

// maxBufferedBody is the size in bytes up to which a body is read completely before the status and headers are passed on.
const maxBufferedBody = 64 << 10

// errTruncated means that a response ended before its body was complete.
var errTruncated = errors.New("the target's answer ended early")

// readResponse reads the first part of the body. It returns an error when a body of at most maxBufferedBody is truncated.
func readResponse(resp *http.Response) (*response, error) {
	out := &response{Status: resp.StatusCode, Header: forwardedHeaders(resp.Header)}
	size := int64(maxBufferedBody)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	body := make([]byte, 0, size+1)
	for len(body) <= maxBufferedBody {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			out.Body = body
			return out, nil
		}
		if err != nil {
			return nil, errors.Join(errTruncated, err)
		}
	}
	out.Body, out.Rest = body, resp.Body
	return out, nil
}

// writeTo writes the response to the caller and returns whether it is complete. When it is not, the caller of writeTo must close
// the connection, so that the client notices.
func (r *response) writeTo(w http.ResponseWriter, id string) (complete bool) {
	defer func() {
		if r.Finish != nil {
			r.Finish(complete)
		}
	}()
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	h[HeaderOutcome] = []string{string(OutcomeWhole)}
	h[HeaderRequest] = []string{id}
	if r.Rest == nil {
		w.WriteHeader(r.Status)
		_, _ = w.Write(r.Body) // an error means that the caller has disconnected
		return true
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		return false
	}
	_, err := io.Copy(flushWriter{w}, r.Rest)
	return err == nil
}

// flushWriter flushes after every write, so that a streamed response is not delayed in the buffer.
type flushWriter struct{ http.ResponseWriter }

// Write writes p and flushes it.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		_ = http.NewResponseController(f.ResponseWriter).Flush() // not every ResponseWriter supports Flush
	}
	return n, err
}
