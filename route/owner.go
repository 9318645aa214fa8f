// SPDX-License-Identifier: MIT

package route

import "hash/fnv"

// Owner returns the member with the highest rendezvous weight for the key, or an empty string when there are no members.
//
// When a member leaves, only the keys that it owned change their owner.
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
	_, _ = h.Write([]byte(key)) // hash.Hash.Write never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mixBits(h.Sum64())
}

// mixBits is the 64-bit finalizer of MurmurHash3. It spreads the bits of hashes whose low bits differ little.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
