// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/operators"
)

// zoneCommand drains availability zones and takes them back.
type zoneCommand struct {
	c       *connection
	request string
}

// Name implements subcommands.Command.
func (*zoneCommand) Name() string { return "zone" }

// Synopsis implements subcommands.Command.
func (*zoneCommand) Synopsis() string {
	return "drain an availability zone, take it back, or show what is drained"
}

// Usage implements subcommands.Command.
func (*zoneCommand) Usage() string {
	return `yardhall zone
yardhall zone drain|restore ZONE

drain sends nothing new to the workers of ZONE once the command has ended; what is
in progress there ends as it would. restore takes the zone back. No route table
changes what is drained. Without arguments it shows which zones are.

Exit code 4: not known whether it was done; run it again with the same --request.

Example:
  yardhall zone drain hall-a

`
}

// SetFlags implements subcommands.Command.
func (z *zoneCommand) SetFlags(f *flag.FlagSet) {
	z.c.setFlags(f)
	f.StringVar(&z.request, "request", "", "key of this request, to repeat it after a lost answer")
}

// Execute implements subcommands.Command.
func (z *zoneCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	call, ok := z.call(f.Args())
	if !ok {
		return subcommands.ExitUsageError
	}
	client, err := z.c.client()
	if err != nil {
		return failed(err)
	}
	if f.NArg() == 0 {
		var held operators.Zones
		if _, err := client.Do(ctx, call, &held); err != nil {
			return failed(err)
		}
		printJSON(held)
		return subcommands.ExitSuccess
	}
	if _, err := client.Do(ctx, call, nil); err != nil {
		return failed(err)
	}
	_, _ = fmt.Printf("%s: %s\n", f.Arg(0), f.Arg(1))
	return subcommands.ExitSuccess
}

// call is what the arguments ask for; false where they are wrong.
func (z *zoneCommand) call(args []string) (operators.Request, bool) {
	if len(args) == 0 {
		return operators.Request{Method: http.MethodGet, Path: "/v1/zones"}, true
	}
	if len(args) != 2 || args[0] != "drain" && args[0] != "restore" {
		return operators.Request{}, false
	}
	if z.request == "" {
		z.request = keys.New()
	}
	path := fmt.Sprintf("/v1/zones/%s/%s", url.PathEscape(args[1]), args[0])
	return operators.Request{Method: http.MethodPost, Path: path, Key: z.request}, true
}
