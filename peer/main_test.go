// SPDX-License-Identifier: MIT

package peer

import (
	"os"
	"testing"

	"rackstep.dev/internal/seed"
)

func TestMain(m *testing.M) {
	seed.Fix(300)
	os.Exit(m.Run())
}
