// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

// lossSpan is the time whose jobs are told in one row when no other is given: short against a turn of load.
const lossSpan = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "print what the time of jobs went into, by queue or organisation and time, from the logs of all entries",
		ArgsUsage: "FILE...", Action: losses,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "every", Value: lossSpan, Usage: "the time whose jobs are told in one row"},
			&cli.StringFlag{Name: "by", Value: "queue", Usage: "what a row is of: queue or organisation"},
		},
	}
}

func losses(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("give one log file or more", exitUsage)
	}
	if c.Duration("every") <= 0 {
		return cli.Exit("--every must be more than nothing; give 2s, for example", exitUsage)
	}
	by, ok := map[string]event.Grouping{"queue": event.ByQueue, "organisation": event.ByOrganisation}[c.String("by")]
	if !ok {
		return cli.Exit("--by must be queue or organisation", exitUsage)
	}
	logs, err := readLogs(c.Args().Slice())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	rows := event.Losses(by, c.Duration("every"), logs...)
	if len(rows) == 0 {
		return cli.Exit("no job was read in these logs; give the logs of all entries", exitFailed)
	}
	if err := event.WriteLosses(os.Stdout, by, rows); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
