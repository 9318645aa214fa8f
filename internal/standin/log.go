// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// logStore is one append-only log in memory.
type logStore struct {
	first   int64
	records [][]byte
	// all is every record ever appended, including trimmed ones, for checks after a run.
	all [][]byte
}

func (l *logStore) add(records [][]byte) {
	l.records = append(l.records, records...)
	l.all = append(l.all, records...)
}

func (l *logStore) next() int64 { return l.first + int64(len(l.records)) }

// trim drops the oldest records so that at most limit remain; 0 retains all.
func (l *logStore) trim(limit int) {
	if n := len(l.records) - limit; limit > 0 && n > 0 {
		l.records = append([][]byte(nil), l.records[n:]...)
		l.first += int64(n)
	}
}

// logNamed returns the log with the name and creates it if needed; the caller holds mu.
func (p *Platform) logNamed(name string) *logStore {
	l := p.logs[name]
	if l == nil {
		l = &logStore{}
		p.logs[name] = l
	}
	return l
}

// notifyReaders wakes the reads that wait for new records; the caller holds mu.
func (p *Platform) notifyReaders() {
	close(p.logsChanged)
	p.logsChanged = make(chan struct{})
}

func (p *Platform) appendRecords(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Records) == 0 {
		http.Error(w, "append: invalid body or no records", http.StatusBadRequest)
		return
	}
	if f := p.Faults(); f.LogDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if f.LogDelay > 0 {
		time.Sleep(f.LogDelay)
	}
	if !p.admitAppend(time.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	call := Call{Kind: "append", Log: r.PathValue("log"), Records: body.Records}
	if p.intercept(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	offset, dropReply := p.Append(call.Log, call.Records)
	if p.intercept(call, true) || dropReply {
		abortConnection()
	}
	reply(w, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

// appendWindow counts the appends accepted in the current second, and all those refused so far.
type appendWindow struct {
	second   int64
	accepted int
	refused  int
}

// admitAppend reports whether one more append is within the limit of the current second.
func (p *Platform) admitAppend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if second := now.Unix(); second != p.appendRate.second {
		p.appendRate.second, p.appendRate.accepted = second, 0
	}
	if n := p.faults.AppendsPerSecond; n > 0 && p.appendRate.accepted >= n {
		p.appendRate.refused++
		return false
	}
	p.appendRate.accepted++
	return true
}

// Appends returns the number of appends that took effect, and of those refused by Faults.AppendsPerSecond.
func (p *Platform) Appends() (accepted, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends, p.appendRate.refused
}

// Append adds the records and reports whether the reply must be dropped.
func (p *Platform) Append(name string, records [][]byte) (offset int64, dropReply bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.logNamed(name)
	p.appends++
	offset = l.next()
	l.add(records)
	if n := p.faults.DuplicateEvery; n > 0 && p.appends%n == 0 {
		l.add(records)
	}
	l.trim(p.faults.RetainedRecords)
	p.notifyReaders()
	return offset, p.faults.DropAppendReplyEvery > 0 && p.appends%p.faults.DropAppendReplyEvery == 0
}

const (
	maxPageRecords = 1000
	maxPageBytes   = 4 << 20
)

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, `query parameter "from" must be a non-negative offset`, http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait")) // absent or invalid: no wait
	timeout := time.After(wait)
	for {
		page, status, changed := p.page(r.PathValue("log"), from)
		if status != http.StatusOK || len(page.Records) > 0 {
			w.WriteHeader(status)
			reply(w, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, page)
			return
		}
	}
}

// page is the reply to a read.
type page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

type record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// page returns the records of the log from the offset on, the HTTP status, and a channel that is closed when a log grows.
func (p *Platform) page(name string, from int64) (page, int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown {
		return page{}, http.StatusServiceUnavailable, p.logsChanged
	}
	l := p.logNamed(name)
	out := page{First: l.first, Next: l.next(), Records: []record{}}
	if from < l.first {
		return out, http.StatusGone, p.logsChanged
	}
	size := 0
	for offset := from; offset < l.next() && len(out.Records) < maxPageRecords && size < maxPageBytes; offset++ {
		data := l.records[offset-l.first]
		out.Records = append(out.Records, record{offset, data})
		size += len(data)
	}
	return out, http.StatusOK, p.logsChanged
}

// Records returns every record ever appended to the log, including those that it no longer retains.
func (p *Platform) Records(name string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([][]byte(nil), p.logNamed(name).all...)
}
