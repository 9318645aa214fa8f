// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"rackstep.dev/admin"
	"rackstep.dev/config"
	"rackstep.dev/event"
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
	api := &admin.Client{Address: address, Token: token}
	if file := c.String("authority"); file != "" {
		pool, err := config.LoadAuthority(file)
		if err != nil {
			return nil, cli.Exit(err, exitUsage)
		}
		api.TLS = true
		api.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	}
	return api, nil
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
