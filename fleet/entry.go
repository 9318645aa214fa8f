// SPDX-License-Identifier: MIT

package fleet

// Entry is one running rackstepd.
type Entry struct {
	ID         string
	DataCentre string
	// Boot tells two lives of the same instance apart.
	Boot string
	// PeerAddress, CallerAddress and OperatorAddress are IP addresses with ports.
	PeerAddress, CallerAddress, OperatorAddress string
	// Joined is the offset at which this life joined.
	Joined int64
}

// Join is the record by which an entry becomes one that drains wait for.
type Join struct {
	Entry Entry `cbor:"e"`
}

// Leave is the record that an entry's life is over, written by itself or by one that saw it gone from the platform.
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
