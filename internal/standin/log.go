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
	// all is every record ever appended, for those who judge a trial.
	all [][]byte
}

func (l *logStore) add(records [][]byte) {
	l.records = append(l.records, records...)
	l.all = append(l.all, records...)
}

func (l *logStore) next() int64 { return l.first + int64(len(l.records)) }

// trim drops the oldest records beyond keep.
func (l *logStore) trim(keep int) {
	if n := len(l.records) - keep; keep > 0 && n > 0 {
		l.records = append([][]byte(nil), l.records[n:]...)
		l.first += int64(n)
	}
}

// store returns the log with the name; the caller holds mu.
func (p *Platform) store(name string) *logStore {
	l := p.logs[name]
	if l == nil {
		l = &logStore{}
		p.logs[name] = l
	}
	return l
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) appendRecords(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Records) == 0 {
		http.Error(w, "an append needs records", http.StatusBadRequest)
		return
	}
	if f := p.Faults(); f.LogDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	} else if f.LogDelay > 0 {
		time.Sleep(f.LogDelay)
	}
	if !p.takes(time.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	call := Call{Kind: "append", Log: r.PathValue("log"), Records: body.Records}
	if p.probe(call, false) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	offset, lost := p.Append(call.Log, call.Records)
	if p.probe(call, true) || lost {
		breakOff()
	}
	reply(w, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

// appendSecond counts the appends of the present second, and those of any second that were refused.
type appendSecond struct {
	at      int64
	taken   int
	refused int
}

// takes says whether one more append fits into the present second.
func (p *Platform) takes(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := now.Unix(); at != p.second.at {
		p.second.at, p.second.taken = at, 0
	}
	if n := p.faults.AppendsPerSecond; n > 0 && p.second.taken >= n {
		p.second.refused++
		return false
	}
	p.second.taken++
	return true
}

// Appends returns the appends that the logs took, and those that were refused because too many came in one second.
func (p *Platform) Appends() (taken, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends, p.second.refused
}

// Append adds the records and says whether the answer is to be lost.
func (p *Platform) Append(name string, records [][]byte) (offset int64, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.store(name)
	p.appends++
	offset = l.next()
	l.add(records)
	if n := p.faults.TwiceEvery; n > 0 && p.appends%n == 0 {
		l.add(records)
	}
	l.trim(p.faults.Keep)
	p.wake()
	return offset, p.faults.LoseEvery > 0 && p.appends%p.faults.LoseEvery == 0
}

const (
	maxPageRecords = 1000
	maxPageBytes   = 4 << 20
)

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from is an offset", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait")) // none means no wait
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

type page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

type record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

func (p *Platform) page(name string, from int64) (page, int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown {
		return page{}, http.StatusServiceUnavailable, p.changed
	}
	l := p.store(name)
	out := page{First: l.first, Next: l.next(), Records: []record{}}
	if from < l.first {
		return out, http.StatusGone, p.changed
	}
	bytes := 0
	for o := from; o < l.next() && len(out.Records) < maxPageRecords && bytes < maxPageBytes; o++ {
		data := l.records[o-l.first]
		out.Records = append(out.Records, record{o, data})
		bytes += len(data)
	}
	return out, http.StatusOK, p.changed
}

// Records returns every record ever appended to the log, also those that it no longer keeps.
func (p *Platform) Records(name string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([][]byte(nil), p.store(name).all...)
}
