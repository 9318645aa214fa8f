// SPDX-License-Identifier: MIT

package event

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestShortagesAreReadFromLogs guards against the tables missing what the leader logs about a shortage.
func TestShortagesAreReadFromLogs(t *testing.T) {
	c := quicktest.New(t)
	log, _, err := ReadLog(strings.NewReader(formatLog("e1",
		`01.000 event=846 name=pool-short text="state=short pool=a wanted=900 granted=120 have=270 lasting=20 timely=100 movable=250"`,
		`02.000 event=847 name=instances-shifted text="from=a to=b instances=41 gain=4.10 loss=0.29"`,
		`03.000 event=846 name=pool-short text="state=ended lasted=2.3s"`,
	)))
	c.Assert(err, quicktest.IsNil)
	got := FindShortages(log)
	c.Assert(got.Pools, quicktest.HasLen, 1)
	c.Assert(got.Shifts, quicktest.HasLen, 1)
	c.Assert(got.Lasted, quicktest.DeepEquals, []time.Duration{2300 * time.Millisecond})
	var b strings.Builder
	c.Assert(got.Write(&b), quicktest.IsNil)
	for _, want := range []string{"900", "120", "270", "4.10", "0.29", "2.3s"} {
		c.Assert(b.String(), quicktest.Contains, want)
	}
}
