// SPDX-License-Identifier: MIT

// Package seed gives rapid's property tests a fixed seed, so that every run of the tests has the same result.
//
// A package whose tests use rapid calls it from TestMain:
//
//	func TestMain(m *testing.M) {
//		seed.Fix(200)
//		os.Exit(m.Run())
//	}
//
// The flags -rapid.seed and -rapid.checks take precedence, to look for failures with other seeds:
//
//	go test ./fleet -rapid.seed=7 -rapid.checks=100000
package seed
