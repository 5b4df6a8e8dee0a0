// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/losses"
)

// lossesCommand tells from hosts' logs where service was lost.
type lossesCommand struct{ plot string }

// Name implements subcommands.Command.
func (*lossesCommand) Name() string { return "losses" }

// Synopsis implements subcommands.Command.
func (*lossesCommand) Synopsis() string {
	return "tell from hosts' logs which requests were late, refused or failed, and why"
}

// Usage implements subcommands.Command.
func (*lossesCommand) Usage() string {
	return "yardhall losses [-plot FILE] FOLDER|-\n\nExample:\n  yardhall losses -plot losses.png /var/log/yardhall\n  zcat *.gz | yardhall losses -\n\n"
}

// SetFlags implements subcommands.Command.
func (l *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.plot, "plot", "", "file (.png, .svg, .pdf) to draw requests a second into")
}

// Execute implements subcommands.Command.
func (l *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	r := losses.New()
	if err := readLogs(r, f.Arg(0)); err != nil {
		return failed(err)
	}
	r.Print(os.Stdout)
	if l.plot == "" {
		return subcommands.ExitSuccess
	}
	if err := r.Plot(l.plot); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// logReport is a report that takes in logs.
type logReport interface{ Read(in io.Reader) error }

// readLogs reads standard input, or all files of a folder.
func readLogs(r logReport, from string) error {
	if from == "-" {
		return errors.Wrap(r.Read(os.Stdin), "standard input")
	}
	files, err := filepath.Glob(filepath.Join(from, "*"))
	if err != nil {
		return errors.Wrap(err, "list logs")
	}
	if len(files) == 0 {
		return errors.Errorf("there is no log in %q", from)
	}
	for _, file := range files {
		if err := readLog(r, file); err != nil {
			return err
		}
	}
	return nil
}

func readLog(r logReport, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(r.Read(f), file)
}
