// SPDX-License-Identifier: MIT

package keep

// Rows are the keys of rows with changes that are not kept, in the order in which they changed first, so that none is passed over while others
// keep changing. The zero value is empty.
type Rows[R any] struct {
	rows  map[string]R
	order []string
}

// Add notes that a row has changed.
func (x *Rows[R]) Add(key string, row R) {
	if x.rows == nil {
		x.rows = make(map[string]R)
	}
	if _, ok := x.rows[key]; !ok {
		x.order = append(x.order, key)
	}
	x.rows[key] = row
}

// Drop takes a row out; its place in the order goes when its turn comes.
func (x *Rows[R]) Drop(key string) { delete(x.rows, key) }

// Has says whether a row has changes that are not kept.
func (x *Rows[R]) Has(key string) bool {
	_, ok := x.rows[key]
	return ok
}

// Empty says whether all changes are kept.
func (x *Rows[R]) Empty() bool { return len(x.rows) == 0 }

// Next takes out the row that changed first; ok is false when there is none.
func (x *Rows[R]) Next() (key string, row R, ok bool) {
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
