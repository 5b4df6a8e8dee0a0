// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// dumpCommand prints one process's whole state.
type dumpCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*dumpCommand) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*dumpCommand) Synopsis() string { return "print a process's whole state as JSON" }

// Usage implements subcommands.Command.
func (*dumpCommand) Usage() string {
	return "yardhall dump [--counters]\n\nAsks the first of --hosts that answers.\n\n"
}

// SetFlags implements subcommands.Command.
func (d *dumpCommand) SetFlags(f *flag.FlagSet) {
	d.c.setFlags(f)
	f.Bool("counters", false, "print the counters instead")
}

// Execute implements subcommands.Command.
func (d *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.Lookup("counters").Value.String() == "true" {
		return show(ctx, d.c, "/v1/counters")
	}
	return show(ctx, d.c, "/v1/dump")
}
