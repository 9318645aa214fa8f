// SPDX-License-Identifier: MIT

package work

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestTheNameOfAnIncarnationTellsItsIDAndItsBootID(t *testing.T) {
	c := quicktest.New(t)
	names := make(map[string]bool)
	for _, l := range [...]Incarnation{{ID: "i-1"}, {ID: "i-1", BootID: 1}, {ID: "i-1", BootID: 12}, {ID: "i-1", BootID: -3}, {ID: "i@1"}, {ID: "i@1", BootID: 2}, {ID: "i@"}, {}} {
		name := l.String()
		c.Check(ParseIncarnation(name), quicktest.Equals, l, quicktest.Commentf("%q", name))
		c.Check(names[name], quicktest.IsFalse, quicktest.Commentf("two lives have the name %q", name))
		names[name] = true
	}
	c.Assert(Incarnation{ID: "i-1"}.String(), quicktest.Equals, "i-1")
	c.Assert(ParseIncarnation("i@x"), quicktest.Equals, Incarnation{ID: "i@x"})
}
