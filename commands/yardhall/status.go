// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/subcommands"

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
