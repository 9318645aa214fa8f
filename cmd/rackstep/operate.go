// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"rackstep.dev/admin"
	"rackstep.dev/config"
	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

// client returns the entry's operators' interface as the flags name it.
func client(c *cli.Command) (*admin.Client, error) {
	address := c.String("entry")
	if address == "" {
		return nil, cli.Exit("no entry is named; use --entry or set RACKSTEP_ENTRY", exitUsage)
	}
	token := os.Getenv("RACKSTEP_TOKEN")
	if file := c.String("token-file"); file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, cli.Exit(fmt.Errorf("read the token: %w", err), exitUsage)
		}
		token = strings.TrimSpace(string(b))
	}
	if token == "" {
		return nil, cli.Exit("there is no token; set RACKSTEP_TOKEN or use --token-file", exitUsage)
	}
	return &admin.Client{Address: address, Token: token}, nil
}

// failure turns an entry's answer into an exit code.
func failure(err error) error {
	var p *serve.Problem
	switch {
	case err == nil:
		return nil
	case errors.As(err, &p) && p.Outcome == serve.OutcomeUnknown, errors.Is(err, admin.ErrUnreachable):
		return cli.Exit(err, exitUnknown)
	}
	return cli.Exit(err, exitFailed)
}

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
	a := admin.Apply{ID: c.String("id"), Base: c.Uint64("base"), Configuration: conf}
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

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "state an intent and print the plan; nothing happens until it is confirmed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "empty-rack", Usage: "maintain every instance of `RACK`"},
			&cli.StringFlag{Name: "empty-data-centre", Usage: "take `DATA-CENTRE` out"},
			&cli.StringFlag{Name: "maintain", Usage: "maintain `POOL`, or all pools with 'all'"},
			&cli.DurationFlag{Name: "older-than", Usage: "with --maintain: only instances not maintained for this long"},
			&cli.StringFlag{Name: "move", Usage: "move `INSTANCE,...` to the pool of --to"},
			&cli.StringFlag{Name: "to", Usage: "with --move: the `POOL`"},
			&cli.StringFlag{Name: "replace", Usage: "stop `INSTANCE,...` for good"},
			&cli.BoolFlag{Name: "hold", Usage: "with --empty-rack or --empty-data-centre: keep the instances out until 'rackstep return'"},
			&cli.BoolFlag{Name: "confirm", Usage: "confirm the plan at once"},
		},
		Action: makePlan,
	}
}

func intentOf(c *cli.Command) (fleet.Intent, error) {
	var found []fleet.Intent
	if v := c.String("empty-rack"); v != "" {
		found = append(found, fleet.Intent{Kind: fleet.IntentEmptyRack, Rack: v})
	}
	if v := c.String("empty-data-centre"); v != "" {
		found = append(found, fleet.Intent{Kind: fleet.IntentEmptyDataCentre, DataCentre: v})
	}
	if v := c.String("maintain"); v != "" {
		i := fleet.Intent{Kind: fleet.IntentMaintain, Pool: v}
		if v == "all" {
			i.Pool = ""
		}
		if d := c.Duration("older-than"); d > 0 {
			i.NotSince = time.Now().Add(-d)
		}
		found = append(found, i)
	}
	if v := c.String("move"); v != "" {
		found = append(found, fleet.Intent{Kind: fleet.IntentMove, Pool: c.String("to"), Instances: strings.Split(v, ",")})
	}
	if v := c.String("replace"); v != "" {
		found = append(found, fleet.Intent{Kind: fleet.IntentReplace, Instances: strings.Split(v, ",")})
	}
	for i := range found {
		found[i].Hold = c.Bool("hold")
	}
	if len(found) != 1 {
		return fleet.Intent{}, cli.Exit("state one intent; see 'rackstep plan --help'", exitUsage)
	}
	return found[0], nil
}

func makePlan(ctx context.Context, c *cli.Command) error {
	intent, err := intentOf(c)
	if err != nil {
		return err
	}
	api, err := client(c)
	if err != nil {
		return err
	}
	p, err := api.Plan(ctx, intent)
	if err != nil {
		return failure(err)
	}
	if err := show(c, p, func(w *table) { printPlan(w, p) }); err != nil {
		return err
	}
	if len(p.Steps) == 0 || (!c.Bool("confirm") && !asked(fmt.Sprintf("confirm plan %s? [y/N] ", p.ID))) {
		return nil
	}
	_, err = api.Order(ctx, p.ID, fleet.OrderConfirm)
	return failure(err)
}

// asked asks on a terminal; elsewhere the answer is no.
func asked(question string) bool {
	info, err := os.Stdin.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return false
	}
	fmt.Fprint(os.Stderr, question)
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	return err == nil && slices.Contains([]string{"y", "yes"}, strings.ToLower(strings.TrimSpace(line)))
}

func printPlan(w *table, p fleet.Plan) {
	e := p.Estimate
	w.line("plan %s: %s, made from version %d", p.ID, p.Intent.Kind, p.Base)
	w.line("%d steps in %d waves; expected roll-out time %s (bound %s), job moves %d (bound %d), at most %d instances out at once (bound %d)",
		len(p.Steps), p.Waves, e.RollOut, e.RollOutBound, e.Moves, e.MovesBound, e.Buffer, e.BufferBound)
	if len(p.Steps) > 0 {
		w.head("WAVE", "INSTANCE", "ACTION", "FROM", "TO", "STATE")
		for _, s := range p.Steps {
			w.row(s.Wave+1, s.Instance, s.Action, s.From, s.To, s.State)
		}
	}
	for _, l := range p.Left {
		w.line("left out: %s: %s", l.Instance, l.Reason)
	}
}

func orderCommand(order fleet.Order, usage string) *cli.Command {
	return &cli.Command{
		Name: string(order), Usage: usage, ArgsUsage: "PLAN",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			if c.Args().First() == "" {
				return cli.Exit("name the plan; 'rackstep status' lists the plans", exitUsage)
			}
			done, err := api.Order(ctx, c.Args().First(), order)
			if err != nil {
				return failure(err)
			}
			return show(c, done, func(w *table) { w.line("%s accepted at offset %d", order, done.Offset) })
		},
	}
}

func showPlanCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print a plan and the state of its steps", ArgsUsage: "PLAN",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := client(c)
			if err != nil {
				return err
			}
			p, err := api.GetPlan(ctx, c.Args().First())
			if err != nil {
				return failure(err)
			}
			return show(c, p, func(w *table) { printPlan(w, p) })
		},
	}
}

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
				w.head("JOB", "TEAM", "POOL", "STATE", "INSTANCE", "ATTEMPT", "MOVES", "NOTE")
				for _, j := range list {
					w.row(j.ID, j.Team, j.Spec.Pool, j.State, j.Instance, j.Attempt, j.Moves, j.Note)
				}
			})
		},
	}
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

func printLine(w *table, line admin.Line) {
	w.head("OFFSET", "ENTRY", "TIME", "EVENT", "ABOUT", "TEXT")
	for _, e := range line.Events {
		about := strings.Join(slices.DeleteFunc([]string{e.Plan, e.Instance, e.Job, e.Request, e.Subject.Entry}, func(s string) bool { return s == "" }), " ")
		w.row(e.Offset, e.Entry, e.Time.UTC().Format("15:04:05.000"), fmt.Sprintf("%d %s", e.Number, e.Name), about, e.Text)
	}
	for _, id := range line.Unreached {
		w.line("not asked: entry %s can't be reached from here", id)
	}
}

func tokenCommand() *cli.Command {
	return &cli.Command{
		Name: "token", Usage: "make a token and print it with its hash for the configuration",
		Action: func(_ context.Context, c *cli.Command) error {
			token := rand.Text()
			made := struct {
				Token string `json:"token"`
				Hash  string `json:"token_hash"`
			}{token, serve.TokenHash(token)}
			return show(c, made, func(w *table) {
				w.line("token      %s", made.Token)
				w.line("token_hash %s", made.Hash)
			})
		},
	}
}

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name: "events", Usage: "print the catalogue of events", Hidden: true,
		Action: func(context.Context, *cli.Command) error {
			fmt.Print(event.Markdown())
			return nil
		},
	}
}
