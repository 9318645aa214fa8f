// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"rackstep.dev/fleet"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "state an intent and print the plan; nothing happens until it is confirmed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "empty-rack", Usage: "maintain every instance of `RACK`"},
			&cli.StringFlag{Name: "empty-data-centre", Usage: "take all instances of `DATA-CENTRE` out of service"},
			&cli.StringFlag{Name: "maintain", Usage: "maintain `POOL`, or all pools with 'all'"},
			&cli.DurationFlag{Name: "older-than", Usage: "with --maintain: only instances whose last maintenance is at least this long ago"},
			&cli.StringFlag{Name: "move", Usage: "move `INSTANCE,...` to the pool given by --to"},
			&cli.StringFlag{Name: "to", Usage: "with --move: the target `POOL`"},
			&cli.StringFlag{Name: "replace", Usage: "stop `INSTANCE,...` permanently"},
			&cli.BoolFlag{Name: "hold", Usage: "with --empty-rack or --empty-data-centre: keep the instances out of service until 'rackstep return'"},
			&cli.BoolFlag{Name: "confirm", Usage: "confirm the plan at once"},
		},
		Action: makePlan,
	}
}

// intentFromFlags returns the one intent that the flags state.
func intentFromFlags(c *cli.Command) (fleet.Intent, error) {
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
		return fleet.Intent{}, cli.Exit("give exactly one intent; see 'rackstep plan --help'", exitUsage)
	}
	return found[0], nil
}

func makePlan(ctx context.Context, c *cli.Command) error {
	intent, err := intentFromFlags(c)
	if err != nil {
		return err
	}
	api, err := newClient(c)
	if err != nil {
		return err
	}
	p, err := api.Plan(ctx, intent)
	if err != nil {
		return exitError(err)
	}
	if err := printAnswer(c, p, func(w *table) { printPlan(w, p) }); err != nil {
		return err
	}
	if len(p.Steps) == 0 || (!c.Bool("confirm") && !askConfirmation(fmt.Sprintf("confirm plan %s? [y/N] ", p.ID))) {
		return nil
	}
	_, err = api.Order(ctx, p.ID, fleet.OrderConfirm)
	return exitError(err)
}

// askConfirmation asks a yes-or-no question if standard input is a terminal. Otherwise it returns false without asking.
func askConfirmation(question string) bool {
	if !term.IsTerminal(int(os.Stdin.Fd())) {
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
		w.header("WAVE", "INSTANCE", "ACTION", "FROM", "TO", "STATE")
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
			api, err := newClient(c)
			if err != nil {
				return err
			}
			if c.Args().First() == "" {
				return cli.Exit("no plan given; 'rackstep status' lists the plans", exitUsage)
			}
			done, err := api.Order(ctx, c.Args().First(), order)
			if err != nil {
				return exitError(err)
			}
			return printAnswer(c, done, func(w *table) { w.line("%s accepted at offset %d", order, done.Offset) })
		},
	}
}

func showPlanCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print a plan and the state of its steps", ArgsUsage: "PLAN",
		Action: func(ctx context.Context, c *cli.Command) error {
			api, err := newClient(c)
			if err != nil {
				return err
			}
			p, err := api.GetPlan(ctx, c.Args().First())
			if err != nil {
				return exitError(err)
			}
			return printAnswer(c, p, func(w *table) { printPlan(w, p) })
		},
	}
}
