// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/plan"
	"github.com/yardhall/yardhall/operators"
)

// plansCommand lists plans or shows one.
type plansCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*plansCommand) Name() string { return "plans" }

// Synopsis implements subcommands.Command.
func (*plansCommand) Synopsis() string { return "list plans, or show one with its steps" }

// Usage implements subcommands.Command.
func (*plansCommand) Usage() string { return "yardhall plans [PLAN]\n\n" }

// SetFlags implements subcommands.Command.
func (p *plansCommand) SetFlags(f *flag.FlagSet) { p.c.setFlags(f) }

// Execute implements subcommands.Command.
func (p *plansCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := p.c.client()
	if err != nil {
		return failed(err)
	}
	if f.NArg() == 1 {
		return showPlan(ctx, p.c, client, f.Arg(0))
	}
	var plans []plan.Plan
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/plans"}, &plans); err != nil {
		return failed(err)
	}
	if p.c.json {
		printJSON(plans)
		return subcommands.ExitSuccess
	}
	var rows [][]string
	for _, pl := range plans {
		done := 0
		for _, s := range pl.Steps {
			if s.Status == plan.StepDone {
				done++
			}
		}
		rows = append(rows, []string{
			string(pl.ID), string(pl.Intent.ID), string(pl.Status), fmt.Sprintf("%d of %d", done, len(pl.Steps)),
			strconv.FormatInt(pl.Bytes, 10),
		})
	}
	printTable([]string{"PLAN", "INTENT", "STATUS", "STEPS", "BYTES"}, rows)
	return subcommands.ExitSuccess
}

func showPlan(ctx context.Context, c *connection, client *operators.Client, id string) subcommands.ExitStatus {
	var p plan.Plan
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/plans/" + id}, &p); err != nil {
		return failed(err)
	}
	if c.json {
		printJSON(p)
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Printf("%s for intent %s: %s, made at version %d, %d bytes to load\n\n", p.ID, p.Intent.ID, p.Status, p.Base, p.Bytes)
	var rows [][]string
	for _, s := range p.Steps {
		rows = append(rows, []string{string(s.Action), string(s.Model), string(s.Target), string(s.Zone), string(s.Status), s.Reason})
	}
	printTable([]string{"ACTION", "MODEL", "TARGET", "ZONE", "STATUS", "REASON"}, rows)
	for _, l := range p.Lacking {
		_, _ = fmt.Println("cannot be met: " + l)
	}
	return subcommands.ExitSuccess
}

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
