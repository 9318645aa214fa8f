// SPDX-License-Identifier: MIT

// Command rackstep is the command line for operators of a site.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"rackstep.dev/fleet"
)

// Exit codes; docs/operations/commands.md lists them.
const (
	exitFailed  = 1 // the request was refused, or a trial broke a promise
	exitUsage   = 2 // the command line or a file is invalid; nothing was sent
	exitUnknown = 3 // the outcome is unknown; repeat the request with the same ID
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name:  "rackstep",
		Usage: "operate a rackstep site",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "operator `ADDRESS` of any entry, an IP address and a port", Sources: cli.EnvVars("RACKSTEP_ENTRY")},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operator's token; RACKSTEP_TOKEN otherwise"},
			&cli.StringFlag{Name: "authority", Usage: "`FILE` with the certificate of the entries' authority, when they use TLS", Sources: cli.EnvVars("RACKSTEP_AUTHORITY")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of the answer: table or json", Value: "table"},
		},
		Commands:       commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "rackstep:", err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		os.Exit(exit.ExitCode())
	}
	os.Exit(exitUsage)
}

func commands() []*cli.Command {
	return []*cli.Command{
		applyCommand(), diffCommand(), planCommand(), showPlanCommand(),
		orderCommand(fleet.OrderConfirm, "start a plan"),
		orderCommand(fleet.OrderPause, "take no further instances out of service; steps in progress are finished"),
		orderCommand(fleet.OrderResume, "resume a paused plan"),
		orderCommand(fleet.OrderCancel, "cancel a plan; drained instances return to service, reboots in progress are finished"),
		orderCommand(fleet.OrderReturn, "return the instances to service that a plan holds out"),
		explainCommand(), leadsCommand(), shortagesCommand(), drainsCommand(), lossesCommand(), statusCommand(), instancesCommand(), jobsCommand(), timelineCommand(), resultCommand(),
		tokenCommand(), tryCommand(), standinCommand(), capacityCommand(), eventsCommand(),
	}
}
