// SPDX-License-Identifier: MIT

//go:build !race

package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
)

// TestExtraRecordsAccompanyRenewals has a leader append records under other keys. Entries must get each of them once, in order
// and with the leader's record of its batch, and the records must not count as renewals of a leader that is gone, nor make the
// conditional append of the next term fail.
func TestExtraRecordsAccompanyRenewals(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroup(t, 3)
		var got []string
		var from []Record
		g.electors[1].OnExtra = func(key string, value []byte, r Record) {
			got, from = append(got, fmt.Sprintf("%s %s", key, value)), append(from, r)
		}
		time.Sleep(time.Second)
		old := g.leader(c)
		n := 0
		old.Extra = func() []feed.KeyedRecord {
			n++
			return []feed.KeyedRecord{{Key: "a", Value: fmt.Append(nil, n)}, {Key: "b", Value: fmt.Append(nil, n)}}
		}
		time.Sleep(4 * time.Second)
		g.topic.setFailing(old.Entry, true)
		time.Sleep(3 * time.Second)
		c.Assert(g.terms, quicktest.HasLen, 2)
		c.Assert(len(got) >= 20, quicktest.IsTrue, quicktest.Commentf("%v", got))
		for i := range got {
			c.Assert(got[i], quicktest.Equals, fmt.Sprintf("%c %d", 'a'+i%2, i/2+1))
			c.Assert(from[i].Fence, quicktest.Equals, g.terms[0].Fence)
		}
		newest := g.topic.newest()
		late := &Elector{Entry: "late", Topic: g.topic.forEntry("late")}
		late.OnExtra = func(key string, _ []byte, r Record) {
			c.Check(r, quicktest.Equals, Record{}, quicktest.Commentf("%s came with a renewal that was not read", key))
		}
		late.applyPage(newest, time.Now())
		c.Assert(late.Latest().Fence, quicktest.Equals, g.terms[1].Fence)
	})
}

// TestRefusedExtraRecordsEndNoLead has the store refuse every batch with a record under another key. The leader must renew
// without them, under the same sequence number, and keep its term.
func TestRefusedExtraRecordsEndNoLead(t *testing.T) {
	inBubble(t, func(t *testing.T, c *quicktest.C) {
		g := newGroupWith(t, 3, func(tp *memoryTopic, entry string) feed.Topic {
			store := tp.forEntry(entry)
			appendTo := store.Append
			store.Append = func(ctx context.Context, b feed.Batch) (int64, error) {
				if len(b.Records) > 1 {
					return 0, &feed.RefusedError{Message: "too long"}
				}
				return appendTo(ctx, b)
			}
			return store
		})
		for _, e := range g.electors {
			e.Extra = func() []feed.KeyedRecord { return []feed.KeyedRecord{{Key: "a", Value: []byte("1")}} }
		}
		time.Sleep(20 * time.Second)
		c.Assert(g.terms, quicktest.HasLen, 1)
		c.Assert(g.leader(c).Confirmed(), quicktest.IsTrue)
	})
}
