// SPDX-License-Identifier: MIT

package pool

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rackstep.dev/job"
)

const (
	// maxOrganisationGauges is the maximum number of organisations with their own gauge. The usage of all others is summed under otherOrganisations.
	maxOrganisationGauges = 64
	otherOrganisations    = "(others)"
	// organisationGaugeInterval is the interval between two updates of the gauges.
	organisationGaugeInterval = time.Second
)

// organisationMetrics publishes the CPU usage of organisations, with a limited number of gauges.
type organisationMetrics struct {
	gauges    map[string]tally.Gauge
	updatedAt time.Time
}

// updateOrganisationGauges updates the gauges once per organisationGaugeInterval.
func (c *session) updateOrganisationGauges(now time.Time) {
	m := &c.organisationMetrics
	if now.Sub(m.updatedAt) < organisationGaugeInterval {
		return
	}
	m.updatedAt = now
	held := make(map[string]job.Need)
	for _, name := range c.ledger.Names() {
		n, _ := c.ledger.Held(name)
		if m.gauges[name] == nil && len(m.gauges) >= maxOrganisationGauges {
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
