// SPDX-License-Identifier: MIT

package limit

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// handler returns a handler that tells the request's connection how far the request is, and does not read on after an answer that
// came before the end of the body.
func (g *Guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil {
			c.countLines.Store(false)
			if c.listener.endsTurn(c) {
				w.Header().Set("Connection", "close")
			}
		}
		if r.Body == nil || r.Body == http.NoBody {
			if c != nil && !c.hold() {
				panic(http.ErrAbortHandler) // displaced; the client sees that its connection is closed
			}
			h.ServeHTTP(w, r)
			return
		}
		if c != nil {
			if !c.hold() {
				panic(http.ErrAbortHandler)
			}
		}
		b := &bodyReader{ReadCloser: r.Body, guard: g, conn: c, control: http.NewResponseController(w), start: time.Now()}
		b.moved = b.start
		if c != nil {
			c.body.Store(b)
			defer c.body.Store(nil)
		}
		r = r.WithContext(r.Context())
		r.Body = b
		answer := &responseWriter{ResponseWriter: w, body: b}
		h.ServeHTTP(answer, r)
		answer.start()
	})
}

// responseWriter closes the connection after an answer that begins before the end of the request's body.
type responseWriter struct {
	http.ResponseWriter
	body    *bodyReader
	started bool
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the answer.
func (w *responseWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.body.done {
		return
	}
	// A MaxBytesReader over its limit makes the server close the connection after the answer, but not before the client had the time
	// to read it. A deadline in the past keeps the server from reading the rest of the body.
	over := http.MaxBytesReader(w.ResponseWriter, io.NopCloser(bytes.NewReader([]byte{0})), 0)
	_, _ = over.Read(make([]byte, 1))
	w.ResponseWriter.Header().Set("Connection", "close")
	w.body.abandon()
	if w.body.conn != nil {
		w.body.conn.yield()
	}
}
