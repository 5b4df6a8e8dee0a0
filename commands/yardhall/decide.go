// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

func verbs() []catalog.Verb {
	return []catalog.Verb{catalog.Confirm, catalog.Reject, catalog.Pause, catalog.Resume, catalog.Abort}
}

// decideCommand decides on a plan.
type decideCommand struct {
	c       *connection
	verb    catalog.Verb
	request string
}

// Name implements subcommands.Command.
func (d *decideCommand) Name() string { return string(d.verb) }

// Synopsis implements subcommands.Command.
func (d *decideCommand) Synopsis() string { return string(d.verb) + " a plan" }

// Usage implements subcommands.Command.
func (d *decideCommand) Usage() string {
	return fmt.Sprintf("yardhall %s PLAN REVISION\n\nThe revision is that of the plan as you read it (yardhall plans --json PLAN).\n\n", d.verb)
}

// SetFlags implements subcommands.Command.
func (d *decideCommand) SetFlags(f *flag.FlagSet) {
	d.c.setFlags(f)
	f.StringVar(&d.request, "request", "", "key of this request, to repeat it after a lost answer")
}

// Execute implements subcommands.Command.
func (d *decideCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return subcommands.ExitUsageError
	}
	client, err := d.c.client()
	if err != nil {
		return failed(err)
	}
	if d.request == "" {
		d.request = keys.New()
	}
	var w operators.Written
	_, err = client.Do(ctx, operators.Request{
		Method: http.MethodPost, Path: fmt.Sprintf("/v1/plans/%s/%s", f.Arg(0), d.verb), Match: f.Arg(1), Key: d.request,
	}, &w)
	if err != nil {
		return failed(err)
	}
	_, _ = fmt.Printf("%s: %s %s\n", d.verb, w.Plan, w.Reason)
	return subcommands.ExitSuccess
}
