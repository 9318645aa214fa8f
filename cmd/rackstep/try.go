// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"rackstep.dev/internal/trial"
)

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a whole site in this process and print what became of every request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sizes", Usage: "`SIZE` of the site: small, muscat or norrskalv", Value: "small"},
			&cli.BoolFlag{Name: "platform", Usage: "run entries on a simulation of the users' platform, with jobs and a leader that loses its connections"},
			&cli.StringFlag{Name: "fault", Usage: "inject the fault `NAME` while the plan runs; 'list' lists the faults"},
		},
		Action: try,
	}
}

func try(ctx context.Context, c *cli.Command) error {
	if c.Bool("platform") {
		if err := trial.OnPlatform(ctx, os.Stdout); err != nil {
			return cli.Exit(err, exitFailed)
		}
		return nil
	}
	spec, err := trial.NamedSpec(c.String("sizes"))
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if c.String("fault") == "list" {
		for _, f := range trial.Faults() {
			fmt.Printf("%-18s %s\n", f.Name, f.Description)
		}
		return nil
	}
	fault, err := findFault(c.String("fault"))
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	r, err := trial.Run(ctx, trial.Options{Spec: spec, Fault: fault, Out: os.Stdout})
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	if len(r.Violations) > 0 {
		return cli.Exit(fmt.Sprintf("%d promises were broken", len(r.Violations)), exitFailed)
	}
	return nil
}

func findFault(name string) (trial.Fault, error) {
	if name == "" {
		return trial.Fault{}, nil
	}
	var names []string
	for _, f := range trial.Faults() {
		if f.Name == name {
			return f, nil
		}
		names = append(names, f.Name)
	}
	return trial.Fault{}, fmt.Errorf("unknown fault %q; use one of %s", name, strings.Join(names, ", "))
}
