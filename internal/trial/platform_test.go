// SPDX-License-Identifier: MIT

//go:build !race

package trial

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestPlatformJobsSurviveIsolationOfTheLeader guards against jobs that are lost or run twice when the leader is
// isolated from the store, the machines and its peers while jobs run.
func TestPlatformJobsSurviveIsolationOfTheLeader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var out bytes.Buffer
		err := OnPlatform(ctx, &out)
		cancel()
		time.Sleep(3 * time.Minute) // let the entries stop gracefully and idle connections close
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", &out))
		c.Assert(out.String(), quicktest.Contains, "no task ran twice")
	})
}
