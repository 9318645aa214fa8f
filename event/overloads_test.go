// SPDX-License-Identifier: MIT

package event

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestOverloadsTellWhoWasRefusedAndWhy checks that refusals of several entries are counted for the period of their queue, with those
// whose lines were omitted, and that a refusal by a notice whose leader's log is missing is shown as well.
func TestOverloadsTellWhoWasRefusedAndWhy(t *testing.T) {
	c := quicktest.New(t)
	leader, _, err := ReadLog(strings.NewReader(formatLog("e1",
		`01.000 event=861 name=overload-begun text="queue=q wait=3s waits_ms=[0 3000] organisations=1 pool=p room=9 later=2 waiting=31"`,
		`06.000 event=862 name=overload-ended text="queue=q after=5s"`,
	)))
	c.Assert(err, quicktest.IsNil)
	entry, _, err := ReadLog(strings.NewReader(formatLog("e2",
		`01.500 event=860 name=job-overload job=a text="queue=q organisation=\"hot\" wait=3s path=1s target=2.5s age=100ms retry=4s omitted=0"`,
		`02.500 event=860 name=job-overload job=b text="queue=q organisation=\"hot\" wait=4s path=1s target=2s age=300ms retry=4s omitted=7"`,
		`07.000 event=860 name=job-overload job=c text="queue=r organisation=\"\" wait=4s path=1s target=2s age=1.9s retry=4s omitted=0"`,
	)))
	c.Assert(err, quicktest.IsNil)
	got := Overloads(leader, entry)
	c.Assert(got, quicktest.HasLen, 2)
	var b strings.Builder
	c.Assert(WriteOverloads(&b, got), quicktest.IsNil)
	for _, want := range []string{
		"q      00:00:01.000  00:00:06.000  9        4s            2s               300ms   hot:2          pool=p room=9 later=2 waiting=31",
		"r      00:00:07.000  -             1        4s            2s               1.9s    -:1",
	} {
		c.Check(b.String(), quicktest.Contains, want)
	}
}
