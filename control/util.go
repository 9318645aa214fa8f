// SPDX-License-Identifier: MIT

package control

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func sortBy[T any](rows []T, key func(T) string) {
	slices.SortFunc(rows, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

func itoa(n int) string { return strconv.Itoa(n) }

func versionText(v uint64) string { return "version " + strconv.FormatUint(v, 10) }
