// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/operators"
)

// getCommand reads configured objects.
type getCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "read configured objects as JSON" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return "yardhall get KIND[/ID]\n\nKinds: accounts classes services models targets hosts intents handovers gateway\n\nExample:\n  yardhall get targets/engine-1\n\n"
}

// SetFlags implements subcommands.Command.
func (g *getCommand) SetFlags(f *flag.FlagSet) { g.c.setFlags(f) }

// Execute implements subcommands.Command.
func (g *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	return show(ctx, g.c, "/v1/"+f.Arg(0))
}

// show prints the JSON answer of a GET.
func show(ctx context.Context, c *connection, path string) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return failed(err)
	}
	var v any
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: path}, &v); err != nil {
		return failed(err)
	}
	printJSON(v)
	return subcommands.ExitSuccess
}
