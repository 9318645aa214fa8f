// SPDX-License-Identifier: MIT

package fleet

import (
	"os"
	"testing"

	"rackstep.dev/internal/seed"
)

// TestMain fixes rapid's seed and sets enough checks that the removal of any single rule of the fold is detected.
func TestMain(m *testing.M) {
	seed.Fix(1500)
	os.Exit(m.Run())
}
