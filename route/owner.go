// SPDX-License-Identifier: MIT

package route

import "hash/fnv"

// Owner returns the member with the highest rendezvous weight for the key, or an empty string when there is none.
//
// A member that leaves changes the owner of only its own keys.
func Owner(key string, members []string) string {
	best, weight := "", uint64(0)
	for _, m := range members {
		w := rendezvous(key, m)
		if best == "" || w > weight || (w == weight && m < best) {
			best, weight = m, w
		}
	}
	return best
}

func rendezvous(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads the bits of a 64-bit hash whose low bits differ little.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
