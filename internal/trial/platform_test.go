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

func TestATrialOnThePlatformLosesItsLeaderAndNothingElse(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var out bytes.Buffer
		err := OnPlatform(ctx, &out)
		cancel()
		time.Sleep(3 * time.Minute) // the entries stop as planned, and idle connections end
		c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", &out))
		c.Assert(out.String(), quicktest.Contains, "no task ran twice")
	})
}
