// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/demo"
)

// demoCommand runs a whole fleet on loopback.
type demoCommand struct {
	time    time.Duration
	rollout bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a whole fleet on loopback and report on it" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return "yardhall demo [--time 8s]\nyardhall demo -rollout [--time 12s]\n\n" +
		"-rollout rolls a good and a bad version of a service out and shows both rollouts.\n\n"
}

// SetFlags implements subcommands.Command.
func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.time, "time", 0, "time of each of the two runs, or for each rollout")
	f.BoolVar(&d.rollout, "rollout", false, "show rollouts of a target version in a fleet with a route table")
}

// Execute implements subcommands.Command.
func (d *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := d.run(ctx); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

func (d *demoCommand) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "yardhall-demo-*")
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if d.rollout {
		return errors.Wrap(demo.RunRollout(ctx, demo.Options{Dir: dir, Out: os.Stdout, Time: d.time}), "demo")
	}
	_, err = demo.Run(ctx, demo.Options{Dir: dir, Out: os.Stdout, Time: d.time})
	return errors.Wrap(err, "demo")
}
