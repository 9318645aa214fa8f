// SPDX-License-Identifier: MIT

package claim

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkClaims measures the time, the memory and the bytes in the log for one claim with its completion, at three sizes.
func BenchmarkClaims(b *testing.B) {
	for _, n := range [...]int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				var tables Tables
				runtime.GC()
				runtime.ReadMemStats(&before)
				bytes := 0
				for i := 0; i < n; i += 100 {
					batch := Batch{Time: 1}
					for j := range 100 {
						key, token := fmt.Sprintf("garages/order-%08d", i+j), fmt.Sprintf("ABCDEFGHIJKLMNOPQRSTUVWXYZ.%d", i+j)
						batch.Claims = append(batch.Claims, Claim{Key: key, NotAfter: 1000, Token: token})
						batch.Completions = append(batch.Completions, Completion{Key: key, Token: token, Status: 200})
					}
					data, err := batch.Encode()
					if err != nil {
						b.Fatal(err)
					}
					bytes += len(data)
					decoded, err := DecodeBatch(data)
					if err != nil {
						b.Fatal(err)
					}
					tables.Apply(decoded, func(Claim, Verdict) {})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B-memory/claim")
				b.ReportMetric(float64(bytes)/float64(n), "B-log/claim")
				runtime.KeepAlive(&tables)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/claim")
		})
	}
}
