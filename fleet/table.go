// SPDX-License-Identifier: MIT

package fleet

import "slices"

// Table holds rows by ID and iterates over them in the order of their IDs, so that all entries iterate alike.
type Table[R any] struct {
	ids  []string // in order
	rows map[string]*R
}

// Len returns the number of rows.
func (t *Table[R]) Len() int { return len(t.rows) }

// Get returns the row with the ID, or nil. The caller must not use the pointer after a Put or Delete.
func (t *Table[R]) Get(id string) *R { return t.rows[id] }

// Put stores the row under the ID, replacing any existing one, and returns a pointer to the stored row.
func (t *Table[R]) Put(id string, row R) *R {
	if t.rows == nil {
		t.rows = make(map[string]*R)
	}
	if old := t.rows[id]; old != nil {
		*old = row
		return old
	}
	t.rows[id] = &row
	i, _ := slices.BinarySearch(t.ids, id)
	t.ids = slices.Insert(t.ids, i, id)
	return &row
}

// Delete removes the row with the ID, if any.
func (t *Table[R]) Delete(id string) {
	if t.rows[id] == nil {
		return
	}
	delete(t.rows, id)
	i, _ := slices.BinarySearch(t.ids, id)
	t.ids = slices.Delete(t.ids, i, i+1)
}

// All iterates over the rows in the order of their IDs. The loop body must not call Put or Delete.
func (t *Table[R]) All(yield func(id string, row *R) bool) {
	for _, id := range t.ids {
		if !yield(id, t.rows[id]) {
			return
		}
	}
}

// Rows returns copies of the rows in the order of their IDs.
func (t *Table[R]) Rows() []R {
	rows := make([]R, 0, t.Len())
	for _, r := range t.All {
		rows = append(rows, *r)
	}
	return rows
}
