// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/operators"
)

// replicaCommand changes the hosts that keep the replicated state.
type replicaCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*replicaCommand) Name() string { return "replica" }

// Synopsis implements subcommands.Command.
func (*replicaCommand) Synopsis() string { return "add, promote or remove a replica of the state" }

// Usage implements subcommands.Command.
func (*replicaCommand) Usage() string {
	return `yardhall replica add|promote|remove HOST

add makes HOST a learner, promote lets a learner that has caught up vote.

Example, replacing a dead replica:
  yardhall replica remove state-2
  yardhall replica add state-4
  yardhall replica promote state-4

`
}

// SetFlags implements subcommands.Command.
func (r *replicaCommand) SetFlags(f *flag.FlagSet) { r.c.setFlags(f) }

// Execute implements subcommands.Command.
func (r *replicaCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return subcommands.ExitUsageError
	}
	change := operators.ReplicaChange{Host: ident.Host(f.Arg(1))}
	switch f.Arg(0) {
	case "add":
	case "promote":
		change.Voter = true
	case "remove":
		change.Remove = true
	default:
		return subcommands.ExitUsageError
	}
	client, err := r.c.client()
	if err != nil {
		return failed(err)
	}
	var out any
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodPost, Path: "/v1/replicas", Body: change}, &out); err != nil {
		return failed(err)
	}
	printJSON(out)
	return subcommands.ExitSuccess
}
