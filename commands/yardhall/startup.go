// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/startup"
)

// startupCommand tells from hosts' logs how long they took until they served.
type startupCommand struct{}

// Name implements subcommands.Command.
func (*startupCommand) Name() string { return "startup" }

// Synopsis implements subcommands.Command.
func (*startupCommand) Synopsis() string {
	return "tell from hosts' logs how long they took from their start until they served"
}

// Usage implements subcommands.Command.
func (*startupCommand) Usage() string {
	return "yardhall startup FOLDER|-\n\nExample:\n  yardhall startup /var/log/yardhall\n\n"
}

// SetFlags implements subcommands.Command.
func (*startupCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*startupCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	r := startup.New()
	if err := readLogs(r, f.Arg(0)); err != nil {
		return failed(err)
	}
	r.Print(os.Stdout)
	return subcommands.ExitSuccess
}
