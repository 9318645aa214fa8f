// SPDX-License-Identifier: MIT

package job

import (
	"strings"
	"time"
)

// queuePrefix is the prefix of the intake keys under which the settings of queues are stored.
const queuePrefix = "q/"

// QueueKey returns the intake key of the settings of a queue.
func QueueKey(name string) string { return queuePrefix + name }

// ParseQueueKey returns the name of the queue whose settings are stored under the key, and false for any other key.
func ParseQueueKey(key string) (string, bool) { return strings.CutPrefix(key, queuePrefix) }

// storedQueue is the stored form of a QueueVersion. The key has the name.
type storedQueue struct {
	Version  int64         `cbor:"1,keyasint,omitempty"`
	Pool     string        `cbor:"2,keyasint,omitempty"`
	Priority int           `cbor:"3,keyasint,omitempty"`
	Attempts int           `cbor:"4,keyasint,omitempty"`
	Stretch  float64       `cbor:"5,keyasint,omitempty"`
	Target   time.Duration `cbor:"6,keyasint,omitempty"`
	Advice   *storedAdvice `cbor:"7,keyasint,omitempty"`
}

// storedAdvice is the stored form of an Advice.
type storedAdvice struct {
	Decide time.Duration `cbor:"1,keyasint,omitempty"`
	Each   time.Duration `cbor:"2,keyasint,omitempty"`
	Valid  time.Duration `cbor:"3,keyasint,omitempty"`
}

// EncodeQueue encodes the settings of a queue for storage.
func EncodeQueue(q QueueVersion) ([]byte, error) {
	s := storedQueue{Version: q.Version, Pool: q.Pool, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target}
	if q.Advice != nil {
		s.Advice = &storedAdvice{Decide: q.Advice.Decide, Each: q.Advice.Each, Valid: q.Advice.Valid}
	}
	return Encode(s)
}

// DecodeQueue decodes the stored settings of the queue.
func DecodeQueue(name string, value []byte) (QueueVersion, error) {
	var s storedQueue
	if err := Decode(value, &s); err != nil {
		return QueueVersion{}, err
	}
	q := QueueVersion{Version: s.Version, Queue: Queue{Name: name, Pool: s.Pool, Priority: s.Priority, Attempts: s.Attempts, Stretch: s.Stretch, Target: s.Target}}
	if s.Advice != nil {
		q.Advice = &Advice{Decide: s.Advice.Decide, Each: s.Advice.Each, Valid: s.Advice.Valid}
	}
	return q, nil
}
