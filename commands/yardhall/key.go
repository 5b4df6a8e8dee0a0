// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
)

// keyCommand makes a key with its hash.
type keyCommand struct{}

// Name implements subcommands.Command.
func (*keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*keyCommand) Synopsis() string { return "make a key for an account or operator, with its hash" }

// Usage implements subcommands.Command.
func (*keyCommand) Usage() string { return "yardhall key\n\n" }

// SetFlags implements subcommands.Command.
func (*keyCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	key := keys.New()
	_, _ = fmt.Printf("key  %s\nhash %s\n", key, keys.Hash(key))
	return subcommands.ExitSuccess
}
