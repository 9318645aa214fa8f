// SPDX-License-Identifier: MIT

package work

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestTheNameOfALifeTellsItsIDAndItsBirth(t *testing.T) {
	c := quicktest.New(t)
	names := make(map[string]bool)
	for _, l := range [...]Life{{ID: "i-1"}, {ID: "i-1", Birth: 1}, {ID: "i-1", Birth: 12}, {ID: "i-1", Birth: -3}, {ID: "i@1"}, {ID: "i@1", Birth: 2}, {ID: "i@"}, {}} {
		name := l.String()
		c.Check(ParseLife(name), quicktest.Equals, l, quicktest.Commentf("%q", name))
		c.Check(names[name], quicktest.IsFalse, quicktest.Commentf("two lives have the name %q", name))
		names[name] = true
	}
	c.Assert(Life{ID: "i-1"}.String(), quicktest.Equals, "i-1")
	c.Assert(ParseLife("i@x"), quicktest.Equals, Life{ID: "i@x"})
}
