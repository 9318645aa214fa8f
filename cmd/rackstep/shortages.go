// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

func shortagesCommand() *cli.Command {
	return &cli.Command{
		Name: "shortages", Usage: "print when pools together wanted more instances than there were, who got them and why, from the logs of all entries",
		ArgsUsage: "FILE...", Action: shortages,
	}
}

func shortages(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("no log file given; name the logs of all entries", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if err := event.FindShortages(logs...).Write(os.Stdout); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
