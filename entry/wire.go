// SPDX-License-Identifier: MIT

//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"rackstep.dev/config"
)

// providers are the constructors of an entry's parts.
var providers = wire.NewSet(
	newIdentity, newClock, newMeters, newHTTPClient, newPlatform, newLogs, newMetrics, newEvents, newListeners, newMesh,
	newBook, newDispatcher, newServer, newController, newAdmin,
	wire.Struct(new(Entry), "settings", "self", "listeners", "mesh", "book", "server", "control", "admin", "metrics", "events", "targets", "platform"),
)

// build puts an entry together; the function that is compiled is in wire_gen.go.
func build(s config.Settings, o Options) (*Entry, func(), error) {
	wire.Build(providers)
	return nil, nil, nil
}
