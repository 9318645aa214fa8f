// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

func overloadsCommand() *cli.Command {
	return &cli.Command{
		Name: "overloads", Usage: "print when jobs of which queues were refused because of load, how many and of whom, and what room there was, from the logs of all entries",
		ArgsUsage: "FILE...", Action: overloads,
	}
}

func overloads(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("no log file given; name the logs of all entries", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	found := event.Overloads(logs...)
	if len(found) == 0 {
		return cli.Exit("these logs contain no refusal because of load; give the logs of all entries", exitFailed)
	}
	if err := event.WriteOverloads(os.Stdout, found); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
