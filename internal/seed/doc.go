// SPDX-License-Identifier: MIT

// Package seed gives the state machines of the tests a fixed seed, so that each run of the tests gives the same verdict.
//
// A package whose tests use rapid calls it from TestMain:
//
//	func TestMain(m *testing.M) {
//		seed.Fix(200)
//		os.Exit(m.Run())
//	}
//
// The flags -rapid.seed and -rapid.checks go before it, so that a person can look for failures with other seeds:
//
//	go test ./fleet -rapid.seed=7 -rapid.checks=100000
package seed
