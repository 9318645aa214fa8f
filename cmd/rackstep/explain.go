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
		Name: "explain", Usage: "print the events of one job in causal order, from the logs of several entries",
		ArgsUsage: "ID FILE...", Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return cli.Exit("give a job's ID and at least one log file", exitUsage)
	}
	logs, err := readLogs(args[1:])
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	history := event.JobHistory(args[0], logs)
	for _, l := range history {
		fmt.Println(l)
	}
	if len(history) == 0 {
		return cli.Exit(fmt.Sprintf("these logs contain no event of job %s; another entry may have accepted it, give the logs of all entries", args[0]), exitFailed)
	}
	return nil
}

// readLogs reads one log file for each entry.
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
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	lines, _, err := event.ReadLog(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
