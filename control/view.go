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

// membership is what a view depends on beside the tables.
type membership struct {
	live   []string
	known  int
	agreed bool
	held   string
	far    string
	listed uint64
}

func (a membership) equal(b membership) bool {
	return slices.Equal(a.live, b.live) && a.known == b.known && a.agreed == b.agreed &&
		a.held == b.held && a.far == b.far && a.listed == b.listed
}

// publish puts a new view in force when the tables or the membership have changed.
func (c *Controller) publish() {
	if c.tables == nil || c.tables.Version == 0 {
		return
	}
	now := c.membership()
	old := c.Server.View()
	if c.viewed && old != nil && now.equal(c.viewedWith) {
		c.moveOffset(old)
		return
	}
	v := c.view(now)
	c.Server.SetView(v)
	c.Registry.SetEntries(c.tables.Entries.Len())
	c.viewed, c.viewedWith = true, now
	if old == nil || old.Version != v.Version {
		c.Events.Emit(event.ConfigurationInForce, event.Subject{}, versionText(v.Version))
	}
}

// moveOffset follows records that do not concern traffic without a new set-up of the gates.
func (c *Controller) moveOffset(old *serve.View) {
	if old.Offset == c.tables.Offset {
		return
	}
	v := *old
	v.Offset = c.tables.Offset
	c.Server.AdvanceView(&v)
}

// linkTime is how long a new entry waits for links to all data centres before it serves without them.
const linkTime = 2 * time.Second

// becomeReady lets callers come once every data centre can be reached, or was tried for some time.
func (c *Controller) becomeReady(now time.Time) {
	v := c.Server.View()
	if c.ready || v == nil {
		return
	}
	if c.viewedAt.IsZero() {
		c.viewedAt = now
	}
	for _, dc := range c.tables.Configuration.DataCentres {
		if dc.Name != c.Self.DataCentre && len(v.Entries[dc.Name]) == 0 && now.Sub(c.viewedAt) < linkTime && c.expected(dc.Name) {
			return
		}
	}
	c.ready = true
	c.Server.SetLinkAttempted()
	c.Events.Emit(event.EntryReady, event.Subject{}, "")
}

// expected says that the tables or the seeds name an entry of the data centre.
func (c *Controller) expected(dataCentre string) bool {
	for _, a := range c.peerAddresses() {
		if a.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (c *Controller) membership() membership {
	m := membership{listed: c.list.changes}
	m.live, m.known = c.members.neighbours(c)
	m.agreed = c.members.agreed(c, m.live)
	held := c.members.held(c)
	for _, id := range sortedKeys(held) {
		m.held += id + "=" + itoa(held[id]) + " "
	}
	m.far = strings.Join(c.Mesh.ConnectedPeers(), " ")
	return m
}

func (c *Controller) view(m membership) *serve.View {
	t := c.tables
	v := &serve.View{
		Offset: t.Offset, Version: t.Version,
		Services: make(map[string]*serve.Service, len(t.Configuration.Services)),
		Entries:  make(map[string][]string),
	}
	v.ByDistance, v.RegionSize = c.near()
	var err error
	if v.Organisations, err = t.Configuration.Organisations(); err != nil {
		c.Events.Emit(event.RecordRefused, event.Subject{}, err.Error()) // nobody is known until it is mended
	}
	for _, id := range c.Mesh.ConnectedPeers() {
		if e := c.members.byEntry[id]; e != nil && !e.status.Stopping {
			v.Entries[e.status.DataCentre] = append(v.Entries[e.status.DataCentre], id)
		}
	}
	held := c.members.held(c)
	for i := range t.Configuration.Services {
		s := t.Configuration.Services[i]
		v.Services[s.Name] = c.service(s, m, held)
	}
	return v
}

func (c *Controller) service(s fleet.Service, m membership, held map[string]int) *serve.Service {
	out := &serve.Service{Service: s, Slots: share(s.SlotLimit(), m)}
	serving := make(map[string]bool)
	for id, in := range c.tables.Instances.All {
		if in.Pool != s.Pool || !in.Available() || !slices.Contains(s.DataCentres, in.DataCentre) || c.list.gone(id) {
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

// share returns the slots of a target that this entry may use, so that entries that disagree stay within the target's slots together.
func share(slots int, m membership) int {
	switch {
	case !m.agreed:
		return max(1, slots/max(1, m.known))
	case len(m.live) < m.known:
		return max(1, slots*len(m.live)/m.known)
	}
	return slots
}

// near returns the data centres: this one, those of its region, the others.
func (c *Controller) near() (list []string, inRegion int) {
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
