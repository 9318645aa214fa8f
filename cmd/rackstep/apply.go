// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/admin"
	"rackstep.dev/config"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "publish a configuration and wait for the fold's answer", ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the file and exit"},
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the file was made from; the one in force by default"},
			&cli.StringFlag{Name: "id", Usage: "`ID` of the record; give the same one to ask again after an unknown outcome"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force at every entry that is heard of"},
			&cli.DurationFlag{Name: "timeout", Usage: "bound of --wait", Value: 30 * time.Second},
		},
		Action: apply,
	}
}

// readConfiguration reads and checks the file; problems were printed when the error says so.
func readConfiguration(name string) (fleet.Configuration, error) {
	var conf fleet.Configuration
	data, err := os.ReadFile(name)
	if err != nil {
		return conf, cli.Exit(fmt.Errorf("read the configuration: %w", err), exitUsage)
	}
	f, problems := config.Parse(name, data)
	if f != nil {
		problems = f.Decode(&conf)
		for _, p := range conf.Check() {
			problems = append(problems, f.At(p.Path, p.Detail))
		}
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		return conf, cli.Exit(fmt.Sprintf("%d problems in the configuration", len(problems)), exitUsage)
	}
	return conf, nil
}

func apply(ctx context.Context, c *cli.Command) error {
	conf, err := readConfiguration(c.Args().First())
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Println("configuration is sound")
		return nil
	}
	api, err := client(c)
	if err != nil {
		return err
	}
	a := admin.ApplyRequest{ID: c.String("id"), Base: c.Uint64("base"), Configuration: conf}
	if a.ID == "" {
		a.ID = rand.Text()
	}
	if !c.IsSet("base") {
		// Without a configuration nobody may read it, so the first is made from version 0.
		if now, err := api.Configuration(ctx); err == nil {
			a.Base = now.Version
		}
	}
	done, err := api.Apply(ctx, a)
	if err != nil {
		fmt.Fprintf(os.Stderr, "record id %s\n", a.ID)
		return failure(err)
	}
	if c.Bool("wait") {
		if err := awaitVersion(ctx, api, done.Version, c.Duration("timeout")); err != nil {
			return err
		}
	}
	return show(c, done, func(w *table) { w.line("accepted as version %d at offset %d", done.Version, done.Offset) })
}

// awaitVersion waits until every entry that is heard of follows the version.
func awaitVersion(ctx context.Context, api *admin.Client, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	behind := "every entry"
	for {
		st, err := api.Status(ctx)
		var p *serve.Problem
		if errors.As(err, &p) && p.Status == http.StatusUnauthorized {
			fmt.Fprintln(os.Stderr, "not waited: this token may not read the status; the bootstrap token only publishes the first configuration")
			return nil
		}
		if err == nil {
			if behind = laggard(st, version); behind == "" {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("version %d is accepted, and %s does not follow it yet; look at 'rackstep status'", version, behind), exitUnknown)
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func laggard(st admin.Status, version uint64) string {
	for _, e := range st.Entries {
		if e.Version < version && !e.Stopping {
			return e.Entry
		}
	}
	return ""
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "print what applying a file would change", ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			conf, err := readConfiguration(c.Args().First())
			if err != nil {
				return err
			}
			api, err := client(c)
			if err != nil {
				return err
			}
			now, err := api.Configuration(ctx)
			if err != nil {
				return failure(err)
			}
			changes := fleet.Diff(now.Configuration, conf)
			return show(c, changes, func(w *table) {
				for _, ch := range changes {
					w.line("%s", ch)
				}
				w.line("%d changes against version %d", len(changes), now.Version)
			})
		},
	}
}
