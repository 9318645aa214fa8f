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
		o := Qualify(organisation, id)
		name, parsed := o.Parts()
		c.Check([]string{name, parsed}, quicktest.DeepEquals, []string{organisation, id}, quicktest.Commentf("%q", o))
		back, ok := ParseSubmissionKey(o.SubmissionKey())
		c.Check(ok && back == o, quicktest.IsTrue)
		back, ok = ParseCancelKey(o.CancelKey())
		c.Check(ok && back == o, quicktest.IsTrue)
		_, ok = ParseSubmissionKey(o.CancelKey())
		c.Check(ok, quicktest.IsFalse)
	}
}

func TestWhoMaySeeAJob(t *testing.T) {
	c := quicktest.New(t)
	for _, x := range [...]struct {
		owner string
		asks  Query
		want  bool
	}{
		{"", Query{}, true}, {"", Query{Organisation: "a"}, true}, {"a", Query{Organisation: "a"}, true},
		{"a", Query{}, false}, {"a", Query{Organisation: "b"}, false}, {"a", Query{Organisation: "b", Open: true, Queue: "other"}, false},
		{"a", Query{Open: true, Queue: "q"}, true},
	} {
		c.Check(x.asks.MaySee(&Spec{Organisation: x.owner, Queue: "q"}), quicktest.Equals, x.want, quicktest.Commentf("%+v", x))
	}
}
