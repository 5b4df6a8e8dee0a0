// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package yardhall holds the commands of the operators' tool, one a file.
//
// # Usage
//
//	os.Exit(yardhall.Execute())
//
// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused because the object or
// the ground has changed, 4 unknown whether it was done (run it again with the
// same --request).
package yardhall

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Exit codes beyond those of subcommands.
const (
	exitConflict subcommands.ExitStatus = 3
	exitUnknown  subcommands.ExitStatus = 4
)

// Execute runs the command that the arguments name and returns the exit code.
func Execute() int {
	commander := subcommands.NewCommander(flag.CommandLine, "yardhall")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	c := &connection{}
	for _, cmd := range []subcommands.Command{
		&statusCommand{c: c}, &getCommand{c: c}, &applyCommand{c: c}, &deleteCommand{c: c},
		&dumpCommand{c: c}, &explainCommand{c: c}, &replicaCommand{c: c}, &backupCommand{c: c}, &zoneCommand{c: c},
		&rolloutCommand{c: c},
	} {
		commander.Register(cmd, "fleet")
	}
	commander.Register(&plansCommand{c: c}, "plans")
	for _, verb := range verbs() {
		commander.Register(&decideCommand{c: c, verb: verb}, "plans")
	}
	commander.Register(&keyCommand{}, "tools")
	commander.Register(&restoreCommand{}, "tools")
	commander.Register(&lossesCommand{}, "tools")
	commander.Register(&startupCommand{}, "tools")
	commander.Register(&demoCommand{}, "tools")
	flag.Parse()
	if flag.NArg() == 0 {
		commander.Explain(os.Stderr)
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}
