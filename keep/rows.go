// SPDX-License-Identifier: MIT

package keep

// DirtyRows are the keys of rows with changes that are not kept, in the order in which they changed first, so that none is passed over while others
// keep changing. The zero value is empty.
type DirtyRows[R any] struct {
	rows  map[string]R
	order []string
}

// Add notes that a row has changed.
func (x *DirtyRows[R]) Add(key string, row R) {
	if x.rows == nil {
		x.rows = make(map[string]R)
	}
	if _, ok := x.rows[key]; !ok {
		x.order = append(x.order, key)
	}
	x.rows[key] = row
}

// Remove takes a row out; its place in the order goes when its turn comes.
func (x *DirtyRows[R]) Remove(key string) { delete(x.rows, key) }

// Has says whether a row has changes that are not kept.
func (x *DirtyRows[R]) Has(key string) bool {
	_, ok := x.rows[key]
	return ok
}

// Empty says whether all changes are kept.
func (x *DirtyRows[R]) Empty() bool { return len(x.rows) == 0 }

// Pop takes out the row that changed first; ok is false when there is none.
func (x *DirtyRows[R]) Pop() (key string, row R, ok bool) {
	for len(x.order) > 0 {
		key = x.order[0]
		x.order = x.order[1:]
		if row, ok = x.rows[key]; ok {
			delete(x.rows, key)
			return key, row, true
		}
	}
	x.order = nil
	return "", row, false
}
