// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package yardhalld holds the commands of the daemon, one a file.
//
// # Usage
//
//	os.Exit(yardhalld.Execute())
package yardhalld

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Execute runs the command that the arguments name and returns the exit code.
func Execute() int {
	commander := subcommands.NewCommander(flag.CommandLine, "yardhalld")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&serveCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&settingsCommand{}, "")
	flag.Parse()
	if flag.NArg() == 0 {
		commander.Explain(os.Stderr)
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}
