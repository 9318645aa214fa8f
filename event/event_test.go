// SPDX-License-Identifier: MIT

package event

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
)

func TestTheCataloguePageIsCurrent(t *testing.T) {
	c := quicktest.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(page), quicktest.Equals, Markdown(), quicktest.Commentf("run 'go run ./cmd/rackstep events > docs/EVENTS.md'"))
}

func TestNumbersAreUniqueAndNamed(t *testing.T) {
	c := quicktest.New(t)
	numbers, names := make(map[Number]bool), make(map[string]bool)
	for _, k := range Catalogue() {
		c.Assert(numbers[k.Number] || names[k.Name], quicktest.IsFalse, quicktest.Commentf("%+v", k))
		numbers[k.Number], names[k.Name] = true, true
		c.Assert(k.Number.Name(), quicktest.Equals, k.Name)
	}
}

func TestARingKeepsTheLatest(t *testing.T) {
	c := quicktest.New(t)
	r := Ring{Entry: "e", Size: 3}
	for i := range 5 {
		r.SetOffset(int64(i))
		r.Emit(PeerUp, Subject{Entry: "f"}, "")
	}
	kept := r.Since(0)
	c.Assert(kept, quicktest.HasLen, 3)
	c.Assert(kept[0].Sequence, quicktest.Equals, uint64(2))
	c.Assert(kept[2].Offset, quicktest.Equals, int64(4))
	var none *Ring
	none.Emit(PeerUp, Subject{}, "") // a nil ring drops events
}

func TestTheTimeLineFollowsOffsetsAndNotClocks(t *testing.T) {
	c := quicktest.New(t)
	events := []Event{{Entry: "b", Offset: 2}, {Entry: "a", Offset: 2, Sequence: 9}, {Entry: "a", Offset: 2, Sequence: 8}, {Entry: "c", Offset: 1}}
	SortTimeLine(events)
	c.Assert(events, quicktest.DeepEquals, []Event{{Entry: "c", Offset: 1}, {Entry: "a", Offset: 2, Sequence: 8}, {Entry: "a", Offset: 2, Sequence: 9}, {Entry: "b", Offset: 2}})
}
