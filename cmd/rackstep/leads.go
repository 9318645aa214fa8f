// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

func leadsCommand() *cli.Command {
	return &cli.Command{
		Name: "leads", Usage: "print the leaders, their degraded modes and the pauses in their starts, from the logs of all entries",
		ArgsUsage: "FILE...", Action: leads,
	}
}

func leads(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("give one log file or more", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	found := event.Leaders(logs...)
	if len(found.Terms) == 0 {
		return cli.Exit("no lead was taken in these logs; give the logs of all entries", exitFailed)
	}
	if err := found.Write(os.Stdout); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
