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
		Name: "leads", Usage: "print the leaders, their degraded modes and the pauses between their starts of runs, from the logs of all entries",
		ArgsUsage: "FILE...", Action: leads,
	}
}

func leads(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("no log file given; name the logs of all entries", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	found := event.Leaders(logs...)
	if len(found.Terms) == 0 {
		return cli.Exit("these logs contain no start of a leader's term; give the logs of all entries", exitFailed)
	}
	if err := found.Write(os.Stdout); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
