// SPDX-License-Identifier: MIT

package job

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against settings that the next leader reads otherwise than they were stored.
func TestQueuesAreStoredWhole(t *testing.T) {
	c := quicktest.New(t)
	for _, q := range []QueueVersion{
		{Version: 3, Queue: Queue{Name: "q", Pool: "p", Priority: 1, Attempts: 4, Stretch: 2.5, Target: time.Second, Advice: &Advice{Decide: 1, Each: 2, Valid: 3}}},
		{Version: 3, Queue: Queue{Name: "q", Attempts: 4}},
		{Queue: Queue{Name: "q"}},
	} {
		value, err := EncodeQueue(q)
		c.Assert(err, quicktest.IsNil)
		got, err := DecodeQueue("q", value)
		c.Assert(err, quicktest.IsNil)
		c.Assert(got, quicktest.DeepEquals, q)
		c.Assert(got.Equal(q.Queue), quicktest.IsTrue)
		name, ok := ParseQueueKey(QueueKey("q"))
		c.Assert(ok, quicktest.IsTrue)
		c.Assert(name, quicktest.Equals, "q")
	}
}

// The numbers of the stored fields must not be given to other ones.
func TestTheStoredFormOfQueuesStays(t *testing.T) {
	c := quicktest.New(t)
	value, err := EncodeQueue(QueueVersion{Version: 1, Queue: Queue{Pool: "p", Priority: 2, Attempts: 3, Stretch: 4, Target: 5, Advice: &Advice{Decide: 6, Each: 7, Valid: 8}}})
	c.Assert(err, quicktest.IsNil)
	c.Assert(value, quicktest.DeepEquals, []byte("\xa7\x01\x01\x02\x61p\x03\x02\x04\x03\x05\xfb\x40\x10\x00\x00\x00\x00\x00\x00\x06\x05\x07\xa3\x01\x06\x02\x07\x03\x08"))
}
