// SPDX-License-Identifier: MIT

//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"rackstep.dev/config"
)

// providers are the constructors of the components of an entry.
var providers = wire.NewSet(
	newIdentity, newClock, newMeters, newHTTPClient, newPlatform, newLogs, newMetrics, newEvents, newListeners, newMesh,
	newRegistry, newDispatcher, newServer, newController, newAdmin, newCallerGuard, newBounded,
	wire.Struct(new(Entry), "settings", "self", "listeners", "mesh", "registry", "server", "control", "admin", "metrics", "events", "targets", "platform", "guard"),
)

// build constructs an entry. Wire generates the compiled version of it in wire_gen.go.
func build(s config.Settings, o Options) (*Entry, func(), error) {
	wire.Build(providers)
	return nil, nil, nil
}
