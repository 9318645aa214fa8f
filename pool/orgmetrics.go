// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rackstep.dev/job"
)

const (
	// organisationsMost bounds the names among the metrics; what the others have running is added up under one name.
	organisationsMost  = 64
	otherOrganisations = "(others)"
	// organisationsEvery is the pause between two looks at what organisations have running, for the metrics.
	organisationsEvery = time.Second
)

// organisationMetrics tells what organisations have running, of a bounded number of names.
type organisationMetrics struct {
	gauges map[string]tally.Gauge
	at     time.Time
}

// tellOrganisations updates the gauges, at times.
func (c *session) tellOrganisations(now time.Time) {
	m := &c.organisationMetrics
	if now.Sub(m.at) < organisationsEvery {
		return
	}
	m.at = now
	held := make(map[string]job.Need)
	for _, name := range c.ledger.Names() {
		n, _ := c.ledger.Held(name)
		if m.gauges[name] == nil && len(m.gauges) >= organisationsMost {
			name = otherOrganisations
		}
		m.gauge(c.counts.scope, name)
		held[name] = held[name].Plus(n)
	}
	for name, g := range m.gauges {
		g.Update(float64(held[name].MilliCPU))
	}
}

func (m *organisationMetrics) gauge(scope tally.Scope, name string) {
	if m.gauges[name] != nil {
		return
	}
	if m.gauges == nil {
		m.gauges = make(map[string]tally.Gauge)
	}
	m.gauges[name] = scope.Tagged(map[string]string{"organisation": name}).Gauge("organisation_millicores")
}
