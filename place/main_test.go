// SPDX-License-Identifier: MIT

package place

import (
	"os"
	"testing"

	"rackstep.dev/internal/seed"
)

func TestMain(m *testing.M) {
	seed.Fix(1000)
	os.Exit(m.Run())
}
