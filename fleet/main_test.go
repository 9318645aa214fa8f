// SPDX-License-Identifier: MIT

package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the fold's machine often enough that every rule, when it is left out, is found.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "1500") // the flag is there
	}
	os.Exit(m.Run())
}
