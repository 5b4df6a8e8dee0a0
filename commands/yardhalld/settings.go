// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhalld

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/settings"
)

// settingsCommand prints the table of all settings.
type settingsCommand struct{}

// Name implements subcommands.Command.
func (*settingsCommand) Name() string { return "settings" }

// Synopsis implements subcommands.Command.
func (*settingsCommand) Synopsis() string { return "print all settings with their defaults" }

// Usage implements subcommands.Command.
func (*settingsCommand) Usage() string { return "yardhalld settings\n\n" }

// SetFlags implements subcommands.Command.
func (*settingsCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*settingsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Print(settings.Table())
	return subcommands.ExitSuccess
}
