// SPDX-License-Identifier: MIT

package job

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestAJobIsKeptUnderItsOrganisationsName(t *testing.T) {
	c := quicktest.New(t)
	const id = "00000000000000a1"
	for _, organisation := range [...]string{"", "a", "a/b", "j/", id, "/", "a/" + id} {
		o := OwnedBy(organisation, id)
		name, parsed := o.Parts()
		c.Check([]string{name, parsed}, quicktest.DeepEquals, []string{organisation, id}, quicktest.Commentf("%q", o))
		back, ok := HandedIn(o.HandedInKey())
		c.Check(ok && back == o, quicktest.IsTrue)
		back, ok = CancelWished(o.CancelKey())
		c.Check(ok && back == o, quicktest.IsTrue)
		_, ok = HandedIn(o.CancelKey())
		c.Check(ok, quicktest.IsFalse)
	}
}

func TestWhoMaySeeAJob(t *testing.T) {
	c := quicktest.New(t)
	for _, x := range [...]struct {
		owner string
		asks  Question
		want  bool
	}{
		{"", Question{}, true}, {"", Question{Organisation: "a"}, true}, {"a", Question{Organisation: "a"}, true},
		{"a", Question{}, false}, {"a", Question{Organisation: "b"}, false}, {"a", Question{Organisation: "b", Open: true, Queue: "other"}, false},
		{"a", Question{Open: true, Queue: "q"}, true},
	} {
		c.Check(x.asks.Sees(&Spec{Organisation: x.owner, Queue: "q"}), quicktest.Equals, x.want, quicktest.Commentf("%+v", x))
	}
}
