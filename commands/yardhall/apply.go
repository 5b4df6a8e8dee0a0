// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/operators"
)

// applyCommand enters the objects of an INI file.
type applyCommand struct {
	c       *connection
	request string
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "enter objects from an INI file; intents give plans" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `yardhall apply FILE

Sections are [kind id]: class, service, model, target, account, handover, intent.
An intent changes nothing yet: it gives a plan to read and confirm.
[gateway NUMBER] with all [pool id], [route host/prefix/] and [holder account]
replaces the route table whole; the highest number prevails.

Example:
  [account halls]
  key_hash = ...
  classes = urgent, normal

  [gateway 12]
  [pool text]
  engine = true
  [route chats.example/v1/]
  kind = stream
  timeout = 30s
  pools = text:100
  [holder halls]
  key_hashes = ...

  [intent second-model]
  service = text
  model = text-2
  zones = zone-a:1, zone-b:1

`
}

// SetFlags implements subcommands.Command.
func (a *applyCommand) SetFlags(f *flag.FlagSet) {
	a.c.setFlags(f)
	f.StringVar(&a.request, "request", "", "key of this request, to repeat it after a lost answer")
}

// Execute implements subcommands.Command.
func (a *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	client, err := a.c.client()
	if err != nil {
		return failed(err)
	}
	objects, err := readObjects(f.Arg(0))
	if err != nil {
		return failed(err)
	}
	if a.request == "" {
		a.request = keys.New()
	}
	for i, o := range objects {
		var w operators.Written
		_, err := client.Do(ctx, operators.Request{
			Method: o.method, Path: o.path, Body: o.body, Key: fmt.Sprintf("%s/%d", a.request, i),
		}, &w)
		if err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "[%s]: ", o.section)
			return failed(err)
		}
		_, _ = fmt.Printf("[%s] version %d %s\n", o.section, w.Version, w.Plan)
	}
	return subcommands.ExitSuccess
}
