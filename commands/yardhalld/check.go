// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhalld

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/settings"
)

// checkCommand checks a settings file and does nothing else.
type checkCommand struct{ file string }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file and list every mistake" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "yardhalld check --settings FILE\n\nExample:\n  yardhalld check --settings /etc/yardhall/entry-1.ini\n\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.Load(c.file); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	_, _ = fmt.Println("the settings are good")
	return subcommands.ExitSuccess
}
