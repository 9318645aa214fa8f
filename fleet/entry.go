// SPDX-License-Identifier: MIT

package fleet

// Entry is one running rackstepd process.
type Entry struct {
	ID         string
	DataCentre string
	// Boot distinguishes runs of the same entry.
	Boot string
	// PeerAddress, CallerAddress and OperatorAddress are IP addresses with ports.
	PeerAddress, CallerAddress, OperatorAddress string
	// Joined is the offset at which this boot of the entry joined.
	Joined int64
}

// Join is the record that adds an entry to those whose acknowledgement drains wait for.
type Join struct {
	Entry Entry `cbor:"e"`
}

// Leave is the record that a boot of an entry has ended. It is written by the entry itself, or by another entry that has seen it
// disappear from the platform's list.
type Leave struct {
	ID   string `cbor:"i"`
	Boot string `cbor:"b"`
}

func (t *Tables) join(j Join) *Refusal {
	if j.Entry.ID == "" || j.Entry.Boot == "" {
		return refuse(ReasonInvalid, "set the entry's name in its settings", "a join without a name or boot")
	}
	if old := t.Entries.Get(j.Entry.ID); old != nil && old.Boot == j.Entry.Boot {
		return nil
	}
	j.Entry.Joined = t.Offset
	t.Entries.Put(j.Entry.ID, j.Entry)
	return nil
}

func (t *Tables) leave(l Leave) *Refusal {
	e := t.Entries.Get(l.ID)
	if e == nil || e.Boot != l.Boot {
		return refuse(ReasonStale, "nothing is to be done", "entry %s has another life or is gone", l.ID)
	}
	t.Entries.Delete(l.ID)
	return nil
}
