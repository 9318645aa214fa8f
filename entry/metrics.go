// SPDX-License-Identifier: MIT

package entry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metrics is the entry's metric scope and the HTTP handler from which it is scraped.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

const reportInterval = time.Second

func newMetrics() metrics {
	registry := prom.NewRegistry() // not the default registry, since a process may run several entries
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "rackstep", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return metrics{scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}
