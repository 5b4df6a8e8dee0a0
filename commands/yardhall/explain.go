// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

// explainCommand prints the audit trail.
type explainCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "say who changed what, when and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "yardhall explain [OBJECT]\n\nExample:\n  yardhall explain plan-3\n  yardhall explain account/halls\n\n"
}

// SetFlags implements subcommands.Command.
func (e *explainCommand) SetFlags(f *flag.FlagSet) { e.c.setFlags(f) }

// Execute implements subcommands.Command.
func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
