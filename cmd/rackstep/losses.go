// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

// defaultLossInterval is the default of --every. It is short compared with the periods in which the load stays the same, so that a
// row does not mix several of them.
const defaultLossInterval = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "print in which phases jobs spent their time, by queue or organisation and by interval, from the logs of all entries",
		ArgsUsage: "FILE...", Action: losses,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "every", Value: defaultLossInterval, Usage: "the time whose jobs are told in one row"},
			&cli.StringFlag{Name: "by", Value: "queue", Usage: "group jobs by queue or organisation"},
		},
	}
}

func losses(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("no log file given; name the logs of all entries", exitUsage)
	}
	if c.Duration("every") <= 0 {
		return cli.Exit("--every must be positive, for example 2s", exitUsage)
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
		return cli.Exit("these logs contain no job that a leader has read; give the logs of all entries", exitFailed)
	}
	if err := event.WriteLosses(os.Stdout, by, rows); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}
