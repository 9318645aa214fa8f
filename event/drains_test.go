// SPDX-License-Identifier: MIT

package event

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestDrainsTellWhatIsLeftAndWhy checks that a drain which two leaders report, one after the other, is shown as one drain, and that the
// latest count of what remains is shown for a drain that has not ended.
func TestDrainsTellWhatIsLeftAndWhy(t *testing.T) {
	c := quicktest.New(t)
	first, _, err := ReadLog(strings.NewReader(formatLog("e1",
		`01.000 event=844 name=drain-changed text="datacentre=a state=begun"`,
		`01.100 event=844 name=drain-changed text="datacentre=a state=emptying after=100ms workers=20 runs=9 lasting=4 others-of-its-step-are-away=3"`,
	)))
	c.Assert(err, quicktest.IsNil)
	second, _, err := ReadLog(strings.NewReader(formatLog("e2",
		`02.000 event=844 name=drain-changed text="datacentre=a state=begun"`,
		`03.000 event=844 name=drain-changed text="datacentre=a state=empty after=1s workers=20 runs=0 lasting=0"`,
		`04.000 event=844 name=drain-changed text="datacentre=a state=taken-back lasted=2s"`,
		`05.000 event=844 name=drain-changed text="datacentre=b state=begun"`,
		`06.000 event=844 name=drain-changed text="datacentre=b state=emptying after=1s workers=8 runs=2 lasting=2 no-place-elsewhere=2"`,
	)))
	c.Assert(err, quicktest.IsNil)
	got := Drains(first, second)
	c.Assert(got, quicktest.HasLen, 2)
	var b strings.Builder
	c.Assert(WriteDrains(&b, got), quicktest.IsNil)
	for _, want := range []string{"a            00:00:01.000  2s           00:00:04.000  workers=20 runs=0", "b            00:00:05.000  -            -             workers=8 runs=2 lasting=2 no-place-elsewhere=2"} {
		c.Assert(b.String(), quicktest.Contains, want)
	}
}
