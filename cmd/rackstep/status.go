// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/admin"
	"rackstep.dev/event"
	"rackstep.dev/fleet"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print versions, budgets, plans and jobs",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "watch", Usage: "print again every second until interrupted"}},
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	api, err := client(c)
	if err != nil {
		return err
	}
	for {
		st, err := api.Status(ctx)
		if err != nil {
			return failure(err)
		}
		if err := show(c, st, func(w *table) { printStatus(w, st) }); err != nil {
			return err
		}
		if !c.Bool("watch") {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

func printStatus(w *table, st admin.Status) {
	w.line("entry %s: version %d at offset %d; %d requests in flight, %d waiting, %d slots, %d claims", st.Entry, st.Version, st.Offset, st.InFlight, st.Waiting, st.Slots, st.Claims)
	w.head("ENTRY", "DATA CENTRE", "VERSION", "OFFSET", "HEARD", "LOG", "STATE")
	for _, e := range st.Entries {
		log, state := "reachable", "serving"
		if !e.LogReachable {
			log = "unreachable"
		}
		if e.Stopping {
			state = "stopping"
		}
		w.row(e.Entry, e.DataCentre, e.Version, e.Offset, e.Age.Std().String()+" ago", log, state)
	}
	w.head("SERVICE", "POOL", "MARGIN")
	for _, s := range st.Services {
		w.row(s.Service, s.Pool, s.Margin)
	}
	if len(st.Plans) > 0 {
		w.head("PLAN", "INTENT", "STATE", "STEPS", "DONE", "OUT")
	}
	for _, p := range st.Plans {
		w.row(p.ID, p.Intent, p.State, p.Steps, p.Done, p.Out)
		for in, reason := range p.Waits {
			w.line("  %s waits: %s", in, reason)
		}
	}
	if len(st.Teams) > 0 {
		w.head("TEAM", "CORES", "QUOTA")
	}
	for _, t := range st.Teams {
		w.row(t.Team, t.Cores, t.Quota)
	}
	for state, n := range st.Jobs {
		w.line("jobs %s: %d", state, n)
	}
}

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "print every instance with its pool and state",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			list, err := api.Instances(ctx)
			if err != nil {
				return failure(err)
			}
			return show(c, list, func(w *table) {
				w.head("INSTANCE", "DATA CENTRE", "RACK", "POOL", "STATE", "LISTED", "PLAN")
				for _, in := range list {
					w.row(in.ID, in.DataCentre, in.Rack, in.Pool, in.State, listedAs(in), in.Plan)
				}
			})
		},
	}
}

func listedAs(in fleet.Instance) string {
	switch {
	case in.Down:
		return "down"
	case in.Leaving:
		return "leaving"
	case in.Quarantined:
		return "quarantined"
	}
	return "live"
}

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name: "jobs", Usage: "print every job with its state",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			list, err := api.Jobs(ctx)
			if err != nil {
				return failure(err)
			}
			return show(c, list, func(w *table) {
				w.head("JOB", "TEAM", "POOL", "STATE", "INSTANCE", "ATTEMPT", "MOVES", "CORES", "NOTE")
				for i := range list {
					j := &list[i]
					w.row(j.ID, j.Team, j.Spec.Pool, j.State, j.Instance, j.Attempt, j.Moves, coresOf(j), j.Note)
				}
			})
		},
	}
}

// coresOf tells the cores that the job declared, and what it uses and is held to where that differs.
func coresOf(j *fleet.Job) string {
	text := fmt.Sprint(j.Spec.Cores)
	if j.Used.Cores > 0 && j.Used.Cores != j.Spec.Cores {
		text += fmt.Sprintf(", uses %d", j.Used.Cores)
	}
	if j.Limit > 0 {
		text += fmt.Sprintf(", held to %d", j.Limit)
	}
	return text
}

func resultCommand() *cli.Command {
	return &cli.Command{
		Name: "result", Usage: "ask what became of a record whose outcome was unknown", ArgsUsage: "ID",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			known, err := api.Result(ctx, c.Args().First())
			if err != nil {
				return failure(err)
			}
			return show(c, known, func(w *table) {
				switch {
				case !known.Found:
					w.line("not folded so far; it may still be, give the same --id to apply it")
				case known.Refusal != nil:
					w.line("%v", known.Refusal)
				default:
					w.line("accepted; version %d", known.Version)
				}
			})
		},
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "print the events of all entries in one order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "only events about `PLAN`"}, &cli.StringFlag{Name: "instance", Usage: "only events about `INSTANCE`"},
			&cli.StringFlag{Name: "job", Usage: "only events about `JOB`"}, &cli.StringFlag{Name: "request", Usage: "only events about `REQUEST`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			line, err := api.TimeLine(ctx, event.Subject{Plan: c.String("plan"), Instance: c.String("instance"), Job: c.String("job"), Request: c.String("request")})
			if err != nil {
				return failure(err)
			}
			return show(c, line, func(w *table) { printLine(w, line) })
		},
	}
}

func printLine(w *table, line admin.TimeLine) {
	w.head("OFFSET", "ENTRY", "TIME", "EVENT", "ABOUT", "TEXT")
	for _, e := range line.Events {
		about := strings.Join(slices.DeleteFunc([]string{e.Plan, e.Instance, e.Job, e.Request, e.Subject.Entry}, func(s string) bool { return s == "" }), " ")
		w.row(e.Offset, e.Entry, e.Time.UTC().Format("15:04:05.000"), fmt.Sprintf("%d %s", e.Number, e.Name), about, e.Text)
	}
	for _, id := range line.Unreached {
		w.line("not asked: entry %s can't be reached from here", id)
	}
}
