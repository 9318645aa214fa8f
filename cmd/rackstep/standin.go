// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/config"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/standin"
	"rackstep.dev/provider"
)

// standinSettings describe a stand-in platform and its instances.
type standinSettings struct {
	// Address is where the platform listens.
	Address string `json:"address"`
	// RebootTime is how long a reboot takes; 2s when 0.
	RebootTime fleet.Duration `json:"reboot_time"`
	// Instances are listed; a worker with an address gets a target that listens there.
	Instances []standinInstance `json:"instances"`
}

type standinInstance struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	Cores      int    `json:"cores"`
	MemoryMB   int    `json:"memory_mb"`
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run a stand-in for the platform and its targets, for trials on one machine", ArgsUsage: "FILE",
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return cli.Exit(fmt.Errorf("read the stand-in's settings: %w", err), exitUsage)
	}
	var s standinSettings
	problems := config.Decode(name, data, &s)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return cli.Exit(fmt.Sprintf("%d problems in the settings", len(problems)), exitUsage)
	}
	return s.run(ctx)
}

func (s standinSettings) run(ctx context.Context) error {
	p := standin.New()
	if s.RebootTime > 0 {
		p.RebootTime = s.RebootTime.Std()
	}
	servers := []*http.Server{{Addr: s.Address, Handler: p, ReadHeaderTimeout: 5 * time.Second}}
	for _, in := range s.Instances {
		row := provider.Instance{ID: in.ID, Role: provider.Role(in.Role), DataCentre: in.DataCentre, Rack: in.Rack, Address: in.Address, Cores: in.Cores, MemoryMB: in.MemoryMB}
		var target *standin.Target
		if row.Role == provider.RoleWorker && row.Address != "" {
			target = &standin.Target{Instance: in.ID}
			srv := target.Server()
			srv.Addr = row.Address
			servers = append(servers, srv)
		}
		p.Put(row, target)
	}
	return serveAll(ctx, servers)
}

// serveAll runs the servers until the context ends or one fails; they end together.
func serveAll(ctx context.Context, servers []*http.Server) error {
	failed := make(chan error, len(servers))
	for _, srv := range servers {
		ln, err := net.Listen("tcp", srv.Addr)
		if err != nil {
			return cli.Exit(fmt.Errorf("listen: %w", err), exitFailed)
		}
		go func() { failed <- srv.Serve(ln) }()
	}
	fmt.Printf("stand-in platform on %s with %d targets\n", servers[0].Addr, len(servers)-1)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for _, srv := range slices.Backward(servers) {
		_ = srv.Close() // it is the end
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
