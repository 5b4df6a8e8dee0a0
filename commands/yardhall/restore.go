// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

// restoreCommand makes a data folder from a backup.
type restoreCommand struct {
	fleet  string
	member string
}

// Name implements subcommands.Command.
func (*restoreCommand) Name() string { return "restore" }

// Synopsis implements subcommands.Command.
func (*restoreCommand) Synopsis() string { return "make a data folder for a new fleet from a backup" }

// Usage implements subcommands.Command.
func (*restoreCommand) Usage() string {
	return `yardhall restore --fleet NEW-ID --member HOST BACKUP FOLDER

The new fleet begins with this one replica; add the others as learners. Its id
must differ from the old one's, so that hosts of the old fleet are refused.

`
}

// SetFlags implements subcommands.Command.
func (r *restoreCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.fleet, "fleet", "", "id of the new fleet")
	f.StringVar(&r.member, "member", "", "host that will use the folder")
}

// Execute implements subcommands.Command.
func (r *restoreCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || r.fleet == "" || r.member == "" {
		return subcommands.ExitUsageError
	}
	if err := r.restore(f.Arg(0), f.Arg(1)); err != nil {
		return failed(err)
	}
	_, _ = fmt.Println("made " + f.Arg(1))
	return subcommands.ExitSuccess
}

func (r *restoreCommand) restore(file, folder string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "backup")
	}
	have, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil || len(have) > 0 {
		return errors.New("the folder is not empty")
	}
	return errors.Wrap(storage.Restore(folder, r.fleet, data, []raft.Member{{ID: ident.Host(r.member), Voter: true}}), "restore")
}
