// SPDX-License-Identifier: MIT

//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"rackstep.dev/config"
)

// build puts an entry together; the function that is compiled is in wire_gen.go.
func build(s config.Settings, o Options) (*Entry, func(), error) {
	wire.Build(providers)
	return nil, nil, nil
}
