// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"rackstep.dev/event"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print one job's story in causal order, from the logs of several entries",
		ArgsUsage: "ID FILE...", Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return cli.Exit("give the job's ID and one log file or more", exitUsage)
	}
	logs, err := readLogs(args[1:])
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	story := event.JobHistory(args[0], logs)
	for _, l := range story {
		fmt.Println(l)
	}
	if len(story) == 0 {
		return cli.Exit("no line of these logs is about the job; it may have come through another entry", exitFailed)
	}
	return nil
}

// readLogs reads the logs of several entries.
func readLogs(names []string) ([][]event.LogLine, error) {
	var logs [][]event.LogLine
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		logs = append(logs, lines)
	}
	return logs, nil
}

func readLog(name string) ([]event.LogLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer f.Close()
	lines, _, err := event.ReadLog(f)
	return lines, err
}
