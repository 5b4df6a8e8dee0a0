// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

// backupCommand saves the replicated state to a file.
type backupCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*backupCommand) Name() string { return "backup" }

// Synopsis implements subcommands.Command.
func (*backupCommand) Synopsis() string { return "save the replicated state to a file" }

// Usage implements subcommands.Command.
func (*backupCommand) Usage() string { return "yardhall backup FILE\n\n" }

// SetFlags implements subcommands.Command.
func (b *backupCommand) SetFlags(f *flag.FlagSet) { b.c.setFlags(f) }

const backupMode = 0o600

// Execute implements subcommands.Command.
func (b *backupCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	client, err := b.c.client()
	if err != nil {
		return failed(err)
	}
	var data []byte
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/backup"}, &data); err != nil {
		return failed(err)
	}
	saved, err := catalog.Decode(data)
	if err != nil {
		return failed(err)
	}
	if err := os.WriteFile(f.Arg(0), data, backupMode); err != nil {
		return failed(err)
	}
	_, _ = fmt.Printf("saved version %d, %d bytes\n", saved.Config.Version, len(data))
	return subcommands.ExitSuccess
}
