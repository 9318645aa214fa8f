// SPDX-License-Identifier: MIT

package feed

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// fixedResponse is a transport that gives the same response or error to every request.
type fixedResponse struct {
	status int
	body   []byte
	err    error
}

func (a fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Header: http.Header{"Location": {"/elsewhere"}}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

func logWith(a fixedResponse) *Log {
	return &Log{URL: "http://127.0.0.1:1", Name: "l", Client: &http.Client{Transport: a}}
}

// TestAnAppendIsUnavailableOnlyWhenItDidNotHappen checks which responses to an append allow sending the batch again at once. A batch
// that may have been appended must not be reported as ErrUnavailable, since sending it again could append it twice.
func TestAnAppendIsUnavailableOnlyWhenItDidNotHappen(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range [...]struct {
		fixedResponse
		want error
	}{
		{fixedResponse{status: 200, body: []byte(`{"offset":7}`)}, nil},
		{fixedResponse{status: 200, body: []byte(`{"off`)}, ErrUncertain},
		{fixedResponse{status: 503}, ErrUnavailable},
		{fixedResponse{status: 429}, ErrUnavailable},
		{fixedResponse{status: 500}, ErrUncertain},
		{fixedResponse{status: 307}, ErrUncertain},
		{fixedResponse{err: io.ErrUnexpectedEOF}, ErrUncertain},
		{fixedResponse{err: &net.OpError{Op: "dial", Err: io.EOF}}, ErrUnavailable},
		{fixedResponse{err: &net.OpError{Op: "read", Err: io.EOF}}, ErrUncertain},
	} {
		_, err := logWith(test.fixedResponse).Append(context.Background(), [][]byte{{1}})
		c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%+v: %v", test.fixedResponse, err))
	}
}

// FuzzRead feeds arbitrary responses of the log service to Read.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"first":1,"next":3,"records":[{"offset":1,"data":"AQI="},{"offset":2,"data":""}]}`))
	f.Add(410, []byte(`{"first":9}`))
	f.Add(503, []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		page, err := logWith(fixedResponse{status: status, body: body}).Read(context.Background(), 0, 0)
		if err == nil && status != http.StatusOK {
			t.Fatalf("status %d was accepted as page %+v", status, page)
		}
	})
}
