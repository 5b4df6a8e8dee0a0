// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/operators"
)

// statusCommand shows the fleet as one host sees it.
type statusCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show hosts, versions in force, replicas and plans" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "yardhall status [--json]\n\nExample:\n  yardhall status --hosts 127.0.1.1:7190 --key-file operator.key\n\n"
}

// SetFlags implements subcommands.Command.
func (s *statusCommand) SetFlags(f *flag.FlagSet) { s.c.setFlags(f) }

// Execute implements subcommands.Command.
func (s *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := s.c.client()
	if err != nil {
		return failed(err)
	}
	var st operators.Status
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/status"}, &st); err != nil {
		return failed(err)
	}
	if s.c.json {
		printJSON(st)
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Printf("leader %s, version %d, in force on all live hosts %d\n\n", st.Leader, st.Version, st.InForce)
	var rows [][]string
	for _, h := range st.Hosts {
		state := "down"
		if h.Alive {
			state = "live"
		}
		rows = append(rows, []string{string(h.Host), string(h.Zone), state, strconv.FormatUint(uint64(h.Version), 10)})
	}
	printTable([]string{"HOST", "ZONE", "STATE", "VERSION"}, rows)
	return subcommands.ExitSuccess
}

// getCommand reads configured objects.
type getCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "read configured objects as JSON" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return "yardhall get KIND[/ID]\n\nKinds: accounts classes services models targets hosts intents handovers\n\nExample:\n  yardhall get targets/engine-1\n\n"
}

// SetFlags implements subcommands.Command.
func (g *getCommand) SetFlags(f *flag.FlagSet) { g.c.setFlags(f) }

// Execute implements subcommands.Command.
func (g *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	return show(ctx, g.c, "/v1/"+f.Arg(0))
}

// show prints the JSON answer of a GET.
func show(ctx context.Context, c *connection, path string) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return failed(err)
	}
	var v any
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: path}, &v); err != nil {
		return failed(err)
	}
	printJSON(v)
	return subcommands.ExitSuccess
}

// dumpCommand prints one process's whole state.
type dumpCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*dumpCommand) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*dumpCommand) Synopsis() string { return "print a process's whole state as JSON" }

// Usage implements subcommands.Command.
func (*dumpCommand) Usage() string {
	return "yardhall dump [--counters]\n\nAsks the first of --hosts that answers.\n\n"
}

// SetFlags implements subcommands.Command.
func (d *dumpCommand) SetFlags(f *flag.FlagSet) {
	d.c.setFlags(f)
	f.Bool("counters", false, "print the counters instead")
}

// Execute implements subcommands.Command.
func (d *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.Lookup("counters").Value.String() == "true" {
		return show(ctx, d.c, "/v1/counters")
	}
	return show(ctx, d.c, "/v1/dump")
}

// explainCommand prints the audit trail.
type explainCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "say who changed what, when and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "yardhall explain [OBJECT]\n\nExample:\n  yardhall explain plan-3\n  yardhall explain account/halls\n\n"
}

// SetFlags implements subcommands.Command.
func (e *explainCommand) SetFlags(f *flag.FlagSet) { e.c.setFlags(f) }

// Execute implements subcommands.Command.
func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := e.c.client()
	if err != nil {
		return failed(err)
	}
	var trail []catalog.Audit
	path := "/v1/audit?object=" + url.QueryEscape(f.Arg(0))
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodGet, Path: path}, &trail); err != nil {
		return failed(err)
	}
	if e.c.json {
		printJSON(trail)
		return subcommands.ExitSuccess
	}
	var rows [][]string
	for _, a := range trail {
		rows = append(rows, []string{a.At.Format("2006-01-02 15:04:05"), a.Actor, a.Action, a.Object, a.Detail})
	}
	printTable([]string{"TIME", "ACTOR", "ACTION", "OBJECT", "DETAIL"}, rows)
	return subcommands.ExitSuccess
}

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
