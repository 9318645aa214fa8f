// SPDX-License-Identifier: MIT

package keep

// DirtyRows is a queue of rows with changes that are not stored yet. It is ordered by each row's first change, so that no row is
// starved while others keep changing. The zero value is empty.
type DirtyRows[R any] struct {
	rows  map[string]R
	order []string
}

// Add records that a row has changed. A row that is already queued keeps its place.
func (d *DirtyRows[R]) Add(key string, row R) {
	if d.rows == nil {
		d.rows = make(map[string]R)
	}
	if _, ok := d.rows[key]; !ok {
		d.order = append(d.order, key)
	}
	d.rows[key] = row
}

// Remove removes a row. Its key stays in the order until Pop reaches it.
func (d *DirtyRows[R]) Remove(key string) { delete(d.rows, key) }

// Has reports whether a row has changes that are not stored yet.
func (d *DirtyRows[R]) Has(key string) bool {
	_, ok := d.rows[key]
	return ok
}

// Empty reports whether all changes are stored.
func (d *DirtyRows[R]) Empty() bool { return len(d.rows) == 0 }

// Pop removes and returns the row that changed first; ok is false when there is none.
func (d *DirtyRows[R]) Pop() (key string, row R, ok bool) {
	for len(d.order) > 0 {
		key = d.order[0]
		d.order = d.order[1:]
		if row, ok = d.rows[key]; ok {
			delete(d.rows, key)
			return key, row, true
		}
	}
	d.order = nil
	return "", row, false
}
