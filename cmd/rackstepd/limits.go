// SPDX-License-Identifier: MIT

package main

import (
	"github.com/urfave/cli/v3"

	"rackstep.dev/internal/limit"
)

// limitFlags returns the flags that replace limits of clients' requests.
func limitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "client-connections", Usage: "accept at most `N` connections of clients; derived from memory and descriptors when 0"},
		&cli.IntFlag{Name: "body-memory", Usage: "use at most `MB` for bodies of requests in progress; a tenth of the memory when 0"},
		&cli.DurationFlag{Name: "body-idle", Usage: "end a body that makes no progress for the `DURATION`; 10s when 0"},
	}
}

// limitsOf returns the limits that the flags set; the others are 0.
func limitsOf(c *cli.Command) limit.Limits {
	l := limit.Limits{Connections: c.Int("client-connections"), BodyIdle: c.Duration("body-idle")}
	l.SmallBodies, l.LargeBodies = limit.DivideBodies(int64(c.Int("body-memory")) << 20)
	return l
}
