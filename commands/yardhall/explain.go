// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"os"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

// explainCommand prints the audit trail, or the way of one request.
type explainCommand struct {
	c    *connection
	logs string
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "say who changed what, when and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "yardhall explain [OBJECT]\n\nExample:\n  yardhall explain plan-3\n  yardhall explain account/halls\n  yardhall explain -logs /var/log/yardhall 71431f42e8d5bd66\n\n"
}

// SetFlags implements subcommands.Command.
func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	e.c.setFlags(f)
	f.StringVar(&e.logs, "logs", "", "folder with the hosts' logs: print the lines on one request, by time")
}

// Execute implements subcommands.Command.
func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.logs != "" {
		if err := explainRequest(os.Stdout, e.logs, f.Arg(0)); err != nil {
			return failed(err)
		}
		return subcommands.ExitSuccess
	}
	client, err := e.c.client()
	if err != nil {
		return failed(err)
	}
	var trail []catalog.Audit
	path := "/v1/audit?object=" + url.QueryEscape(f.Arg(0))
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: path}, &trail); err != nil {
		return failed(err)
	}
	if e.c.json {
		printJSON(trail)
		return subcommands.ExitSuccess
	}
	var rows [][]string
	for _, a := range trail {
		rows = append(rows, []string{a.At.Format("2006-01-02 15:04:05"), a.Actor, a.Action, a.Object, a.Detail})
	}
	printTable([]string{"TIME", "ACTOR", "ACTION", "OBJECT", "DETAIL"}, rows)
	return subcommands.ExitSuccess
}
