// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"rackstep.dev/entry"
	"rackstep.dev/event"
	"rackstep.dev/internal/clock"
	"rackstep.dev/platform"
)

// Limits on the memory of the process.
const (
	// memoryLimitShare is the fraction of the machine's memory that is set as the garbage collector's memory limit.
	memoryLimitShare = 0.6
	// ringSize is the number of events that are kept in memory. It is small because on the platform the log keeps the events.
	ringSize = 64
)

// platformCommand returns the command that runs an entry on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "run one entry on the users' platform until SIGTERM; the path of its settings file is in " + platform.SettingsVariable,
		Flags: append(limitFlags(),
			&cli.StringFlag{Name: "metrics", Usage: "`PORT` for metrics", Value: "9464"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		),
		Action: runOnPlatform,
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command) error {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	out := &event.Writer{Out: os.Stdout}
	defer out.Flush()
	logger := log.With(log.NewLogfmtLogger(out), "time", log.DefaultTimestampUTC, "entry", s.Entry)
	n := &entry.Node{
		Settings: s, SettingsPath: os.Getenv(platform.SettingsVariable), Reload: hangups, Events: &event.Ring{Entry: s.Entry, Logger: logger, Size: ringSize},
		LogDropped:     out.Dropped,
		Clock:          clock.New(),
		ClientLimits:   limitsOf(c),
		MetricsAddress: net.JoinHostPort(s.IP, c.String("metrics")),
	}
	return n.Run(ctx)
}
