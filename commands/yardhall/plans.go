// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/subcommands"

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
