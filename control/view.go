// SPDX-License-Identifier: MIT

package control

import (
	"slices"
	"strings"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/route"
	"rackstep.dev/serve"
)

// membership is the input of a view apart from the tables.
type membership struct {
	live        []string
	known       int
	agree       bool
	heldSlots   string
	linked      string
	listChanges uint64
}

func (a membership) equal(b membership) bool {
	return slices.Equal(a.live, b.live) && a.known == b.known && a.agree == b.agree &&
		a.heldSlots == b.heldSlots && a.linked == b.linked && a.listChanges == b.listChanges
}

// publish replaces the view when the membership has changed or a record that affects traffic was applied.
func (c *Controller) publish() {
	if c.tables == nil || c.tables.Version == 0 {
		return
	}
	now := c.membership()
	old := c.Server.View()
	if c.viewCurrent && old != nil && now.equal(c.viewMembership) {
		c.moveOffset(old)
		return
	}
	v := c.view(now)
	c.Server.SetView(v)
	c.Registry.SetEntries(c.tables.Entries.Len())
	c.viewCurrent, c.viewMembership = true, now
	if old == nil || old.Version != v.Version {
		c.Events.Emit(event.ConfigurationInForce, event.Subject{}, versionText(v.Version))
	}
}

// moveOffset updates the view's offset after records that don't affect traffic, without setting the gates again.
func (c *Controller) moveOffset(old *serve.View) {
	if old.Offset == c.tables.Offset {
		return
	}
	v := *old
	v.Offset = c.tables.Offset
	c.Server.AdvanceView(&v)
}

// linkTimeout is how long a new entry waits for links to all data centres before it serves callers without them.
const linkTimeout = 2 * time.Second

// becomeReady accepts callers once every data centre with a known entry is linked, or linkTimeout has passed.
func (c *Controller) becomeReady(now time.Time) {
	v := c.Server.View()
	if c.ready || v == nil {
		return
	}
	if c.firstViewAt.IsZero() {
		c.firstViewAt = now
	}
	for _, dc := range c.tables.Configuration.DataCentres {
		if dc.Name != c.Self.DataCentre && len(v.Entries[dc.Name]) == 0 && now.Sub(c.firstViewAt) < linkTimeout && c.hasKnownEntry(dc.Name) {
			return
		}
	}
	c.ready = true
	c.Server.SetLinkAttempted()
	c.Events.Emit(event.EntryReady, event.Subject{}, "")
}

// hasKnownEntry reports whether the tables, the statuses or the seeds name an entry of the data centre.
func (c *Controller) hasKnownEntry(dataCentre string) bool {
	for _, a := range c.peerAddresses() {
		if a.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (c *Controller) membership() membership {
	m := membership{listChanges: c.list.changes}
	m.live, m.known = c.members.neighbours(c)
	m.agree = c.members.neighboursAgree(c, m.live)
	held := c.members.heldSlots(c)
	for _, id := range sortedKeys(held) {
		m.heldSlots += id + "=" + itoa(held[id]) + " "
	}
	m.linked = strings.Join(c.Mesh.ConnectedPeers(), " ")
	return m
}

func (c *Controller) view(m membership) *serve.View {
	t := c.tables
	v := &serve.View{
		Offset: t.Offset, Version: t.Version,
		Services: make(map[string]*serve.Service, len(t.Configuration.Services)),
		Entries:  make(map[string][]string),
	}
	v.ByDistance, v.RegionSize = c.dataCentreOrder()
	var err error
	if v.Organisations, err = t.Configuration.Organisations(); err != nil {
		c.Events.Emit(event.RecordRefused, event.Subject{}, err.Error()) // no caller is authorised until the configuration is corrected
	}
	for _, id := range c.Mesh.ConnectedPeers() {
		if e := c.members.byEntry[id]; e != nil && !e.status.Stopping {
			v.Entries[e.status.DataCentre] = append(v.Entries[e.status.DataCentre], id)
		}
	}
	held := c.members.heldSlots(c)
	for i := range t.Configuration.Services {
		s := t.Configuration.Services[i]
		v.Services[s.Name] = c.service(s, m, held)
	}
	return v
}

func (c *Controller) service(s fleet.Service, m membership, held map[string]int) *serve.Service {
	out := &serve.Service{Service: s, Slots: slotShare(s.SlotLimit(), m)}
	serving := make(map[string]bool)
	for id, in := range c.tables.Instances.All {
		if in.Pool != s.Pool || !in.Available() || !slices.Contains(s.DataCentres, in.DataCentre) || c.list.goneOrLeaving(id) {
			continue
		}
		serving[in.DataCentre] = true
		if in.DataCentre == c.Self.DataCentre {
			out.Targets = append(out.Targets, route.Target{Instance: id, Address: in.Address, Generation: in.Generation, Held: held[id]})
		}
	}
	out.AvailableIn = sortedKeys(serving)
	if len(out.Targets) > 0 {
		out.Owner = route.Owner(s.Name, m.live)
	}
	return out
}

// slotShare returns the number of a target's slots that this entry may use. It is reduced while entries may disagree about the
// membership, so that together they stay within the target's slots.
func slotShare(slots int, m membership) int {
	switch {
	case !m.agree:
		return max(1, slots/max(1, m.known))
	case len(m.live) < m.known:
		return max(1, slots*len(m.live)/m.known)
	}
	return slots
}

// dataCentreOrder returns all data centres by preference: this one, those of its region, the others. inRegion is the number of
// those in the region, including this one.
func (c *Controller) dataCentreOrder() (list []string, inRegion int) {
	region := ""
	if dc := c.tables.Configuration.DataCentre(c.Self.DataCentre); dc != nil {
		region = dc.Region
	}
	list = []string{c.Self.DataCentre}
	for _, same := range [...]bool{true, false} {
		for _, dc := range c.tables.Configuration.DataCentres {
			if dc.Name != c.Self.DataCentre && (dc.Region == region) == same {
				list = append(list, dc.Name)
			}
		}
		if same {
			inRegion = len(list)
		}
	}
	return list, inRegion
}
