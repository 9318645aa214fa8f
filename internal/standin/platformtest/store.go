// SPDX-License-Identifier: MIT

package platformtest

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// topic is one partition of a topic.
type topic struct {
	records  []record
	latest   map[string]int // the index of the latest record of each key
	epochs   map[string]int64
	next     map[string]int64
	ends     map[string][]int64
	appended chan struct{}
}

// Store is the platform's log service, in memory.
type Store struct {
	// PageSize is the number of keys in a page of the latest records; newestPageSize when 0.
	PageSize int

	mu     sync.Mutex
	topics map[string]*topic
	// first is the lowest offset that can be read, of all topics; records before it are dropped.
	first int64
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = make(map[string]*topic)
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{latest: make(map[string]int), epochs: make(map[string]int64), next: make(map[string]int64), ends: make(map[string][]int64), appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record to partition 0 of a topic, as the platform's own services do.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name + "/0").add(record{key, value})
}

func (t *topic) add(r ...record) {
	for i, x := range r {
		t.latest[x.key] = len(t.records) + i
	}
	t.records = append(t.records, r...)
	close(t.appended)
	t.appended = make(chan struct{})
}

// Newest returns the latest value of a key, nil when there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topic(name + "/0").records
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value
		}
	}
	return nil
}

// ForEach calls the function with every record of every partition. Records of a partition are in order of their offsets.
func (s *Store) ForEach(f func(topic, key string, value []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.topics {
		for _, r := range t.records {
			f(name, r.key, r.value)
		}
	}
}

// DropHistory makes older offsets of all topics unreadable; the latest record of each key stays available.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		s.first = max(s.first, int64(len(t.records)))
	}
}

// ServeHTTP serves the calls of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("Topic") + "/" + q.Get("part")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, name)
	case "/log-read":
		s.read(w, r, name)
	case "/log-newest":
		s.newest(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body) // every body of this package can be encoded
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	producer := q.Get("Producer")
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("Seq"), 10, 64)
	if producer != "" {
		switch {
		case epoch < t.epochs[producer]:
			reply(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case epoch == t.epochs[producer] && sequence < t.next[producer]:
			reply(w, http.StatusOK, map[string]any{"End": t.ends[producer][sequence]})
			return
		case epoch == t.epochs[producer] && sequence > t.next[producer]:
			reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": t.next[producer]})
			return
		}
	}
	if revision := q.Get("CurrentRev"); revision != "" && revision != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"End": len(t.records)})
		return
	}
	t.add(decodeRecords(body)...)
	if producer != "" {
		if epoch > t.epochs[producer] {
			t.ends[producer] = make([]int64, sequence)
		}
		t.epochs[producer], t.next[producer] = epoch, sequence+1
		t.ends[producer] = append(t.ends[producer], int64(len(t.records)))
	}
	reply(w, http.StatusOK, map[string]any{"Offset": len(t.records), "End": len(t.records)})
}

// decodeRecords decodes the records of an append.
func decodeRecords(b []byte) []record {
	var out []record
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		k := int(b[4])
		out = append(out, record{key: string(b[5 : 5+k]), value: slices.Clone(b[5+k : 4+n])})
		b = b[4+n:]
	}
	return out
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = defaultReadKB
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		first, end, grown := min(s.first, int64(len(t.records))), int64(len(t.records)), t.appended
		var b []byte
		if from >= first && from < end {
			b = encodeRecords(t.records[from:], maxKB<<10)
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if b == nil && wait > 0 {
			select {
			case <-grown:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		head := binary.BigEndian.AppendUint64(nil, uint64(end))
		head = binary.BigEndian.AppendUint64(head, uint64(first))
		_, _ = w.Write(append(head, b...))
		return
	}
}

// defaultReadKB is the size of a read's answer, and newestPageKB that of a page of the latest records.
const (
	defaultReadKB = 1024
	newestPageKB  = 1024
)

// encodeRecords encodes the records of a read, each as its length, the key's length, the key and the value. After the first it leaves out those
// that exceed the maximum size.
func encodeRecords(records []record, maxBytes int) []byte {
	var b []byte
	for _, r := range records {
		if len(b) > 0 && len(b)+len(r.key)+len(r.value) > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
	}
	return b
}

// newestPageSize is the number of keys in a page of the latest records. It is small so that tests cover several pages.
const newestPageSize = 20

func (s *Store) newest(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	size := s.PageSize
	if size == 0 {
		size = newestPageSize
	}
	var keys []string
	for k, i := range t.latest {
		if len(t.records[i].value) > 0 && k > r.URL.Query().Get("DependsOn") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > size
	if more {
		keys = keys[:size]
	}
	items, bytes := []map[string]any{}, 0
	for n, k := range keys {
		i := t.latest[k]
		bytes += len(k) + len(t.records[i].value)
		if n > 0 && bytes > newestPageKB<<10 {
			more = true
			break
		}
		items = append(items, map[string]any{"TlsKey": k, "Value": base64.StdEncoding.EncodeToString(t.records[i].value), "Offset": i})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(t.records)})
}
