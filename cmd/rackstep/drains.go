// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

func drainsCommand() *cli.Command {
	return &cli.Command{
		Name: "drains", Usage: "print the drains of data centres, when each data centre was empty, and what remains there and why, from the logs of all entries",
		ArgsUsage: "FILE...", Action: drains,
	}
}

func drains(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("no log file given; name the logs of all entries", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	found := event.Drains(logs...)
	if len(found) == 0 {
		return cli.Exit("these logs contain no drain of a data centre; give the logs of all entries", exitFailed)
	}
	if err := event.WriteDrains(os.Stdout, found); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
