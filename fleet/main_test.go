// SPDX-License-Identifier: MIT

package fleet

import (
	"os"
	"testing"

	"rackstep.dev/internal/seed"
)

// TestMain runs the fold's machine often enough that every rule, when it is left out, is found.
func TestMain(m *testing.M) {
	seed.Fix(1500)
	os.Exit(m.Run())
}
