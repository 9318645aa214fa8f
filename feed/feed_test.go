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

// answers is a transport that gives one answer to everything.
type answers struct {
	status int
	body   []byte
	err    error
}

func (a answers) RoundTrip(*http.Request) (*http.Response, error) {
	if a.err != nil {
		return nil, a.err
	}
	return &http.Response{StatusCode: a.status, Header: http.Header{"Location": {"/elsewhere"}}, Body: io.NopCloser(bytes.NewReader(a.body))}, nil
}

func logThat(a answers) *Log {
	return &Log{URL: "http://127.0.0.1:1", Name: "l", Client: &http.Client{Transport: a}}
}

// TestAnAppendIsUnavailableOnlyWhenItDidNotHappen tells the answers after which a batch may be sent again at once from the others.
func TestAnAppendIsUnavailableOnlyWhenItDidNotHappen(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range [...]struct {
		answers
		want error
	}{
		{answers{status: 200, body: []byte(`{"offset":7}`)}, nil},
		{answers{status: 200, body: []byte(`{"off`)}, ErrUncertain},
		{answers{status: 503}, ErrUnavailable},
		{answers{status: 429}, ErrUnavailable},
		{answers{status: 500}, ErrUncertain},
		{answers{status: 307}, ErrUncertain},
		{answers{err: io.ErrUnexpectedEOF}, ErrUncertain},
		{answers{err: &net.OpError{Op: "dial", Err: io.EOF}}, ErrUnavailable},
		{answers{err: &net.OpError{Op: "read", Err: io.EOF}}, ErrUncertain},
	} {
		_, err := logThat(test.answers).Append(context.Background(), [][]byte{{1}})
		c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%+v: %v", test.answers, err))
	}
}

// FuzzRead reads whatever the log's service may say.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"first":1,"next":3,"records":[{"offset":1,"data":"AQI="},{"offset":2,"data":""}]}`))
	f.Add(410, []byte(`{"first":9}`))
	f.Add(503, []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		page, err := logThat(answers{status: status, body: body}).Read(context.Background(), 0, 0)
		if err == nil && status != http.StatusOK {
			t.Fatalf("status %d was taken for the page %+v", status, page)
		}
	})
}
