// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/operators"
)

// deleteCommand removes one object.
type deleteCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (*deleteCommand) Synopsis() string { return "remove a configured object" }

// Usage implements subcommands.Command.
func (*deleteCommand) Usage() string {
	return "yardhall delete KIND/ID\n\nExample:\n  yardhall delete targets/engine-1\n\n"
}

// SetFlags implements subcommands.Command.
func (d *deleteCommand) SetFlags(f *flag.FlagSet) { d.c.setFlags(f) }

// Execute implements subcommands.Command.
func (d *deleteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	client, err := d.c.client()
	if err != nil {
		return failed(err)
	}
	path := "/v1/" + f.Arg(0)
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodDelete, Path: path, Key: keys.New()}, nil); err != nil {
		return failed(err)
	}
	_, _ = fmt.Println("removed " + f.Arg(0))
	return subcommands.ExitSuccess
}
