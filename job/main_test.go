// SPDX-License-Identifier: MIT

package job

import (
	"os"
	"testing"

	"rackstep.dev/internal/seed"
)

func TestMain(m *testing.M) {
	seed.Fix(500)
	os.Exit(m.Run())
}
