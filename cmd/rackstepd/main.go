// SPDX-License-Identifier: MIT

// Command rackstepd runs one entry: it accepts callers' requests, routes them to targets and executes operators' plans.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"rackstep.dev/config"
	"rackstep.dev/entry"
	"rackstep.dev/internal/clock"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name:  "rackstepd",
		Usage: "run one entry until SIGTERM, which starts a graceful stop",
		Flags: append(limitFlags(),
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.IntFlag{Name: "memory", Usage: "derive the limits of clients' requests from `MB` of memory; 512 when 0"},
			&cli.IntFlag{Name: "files", Usage: "derive them from `N` file descriptors; 4096 when 0"},
		),
		Action:   runEntry,
		Commands: []*cli.Command{platformCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rackstepd:", err)
		os.Exit(exitFailed)
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	s, problems, err := config.Load(c.String("config"))
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return cli.Exit(fmt.Sprintf("%d problems in the settings", len(problems)), exitSettings)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestampUTC)
	e, err := entry.New(s, entry.Options{Logger: logger, Clock: clock.New(), Limits: limitsOf(c), MemoryMB: c.Int("memory"), MaxFiles: c.Int("files")})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
