// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/storage"
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

Example:
  [account halls]
  key_hash = ...
  classes = urgent, normal

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

// deleteCommand removes one object.
type deleteCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (*deleteCommand) Synopsis() string { return "remove a configured object" }

// Usage implements subcommands.Command.
func (*deleteCommand) Usage() string {
	return "yardhall delete KIND/ID\n\nExample:\n  yardhall delete targets/engine-1\n\n"
}

// SetFlags implements subcommands.Command.
func (d *deleteCommand) SetFlags(f *flag.FlagSet) { d.c.setFlags(f) }

// Execute implements subcommands.Command.
func (d *deleteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return subcommands.ExitUsageError
	}
	client, err := d.c.client()
	if err != nil {
		return failed(err)
	}
	path := "/v1/" + f.Arg(0)
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodDelete, Path: path, Key: keys.New()}, nil); err != nil {
		return failed(err)
	}
	_, _ = fmt.Println("removed " + f.Arg(0))
	return subcommands.ExitSuccess
}

// replicaCommand changes the hosts that keep the replicated state.
type replicaCommand struct{ c *connection }

// Name implements subcommands.Command.
func (*replicaCommand) Name() string { return "replica" }

// Synopsis implements subcommands.Command.
func (*replicaCommand) Synopsis() string { return "add, promote or remove a replica of the state" }

// Usage implements subcommands.Command.
func (*replicaCommand) Usage() string {
	return `yardhall replica add|promote|remove HOST

add makes HOST a learner, promote lets a learner that has caught up vote.

Example, replacing a dead replica:
  yardhall replica remove state-2
  yardhall replica add state-4
  yardhall replica promote state-4

`
}

// SetFlags implements subcommands.Command.
func (r *replicaCommand) SetFlags(f *flag.FlagSet) { r.c.setFlags(f) }

// Execute implements subcommands.Command.
func (r *replicaCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return subcommands.ExitUsageError
	}
	change := operators.ReplicaChange{Host: ident.Host(f.Arg(1))}
	switch f.Arg(0) {
	case "add":
	case "promote":
		change.Voter = true
	case "remove":
		change.Remove = true
	default:
		return subcommands.ExitUsageError
	}
	client, err := r.c.client()
	if err != nil {
		return failed(err)
	}
	var out any
	if _, err := client.Do(ctx, operators.Request{Method: http.MethodPost, Path: "/v1/replicas", Body: change}, &out); err != nil {
		return failed(err)
	}
	printJSON(out)
	return subcommands.ExitSuccess
}

// keyCommand makes a key with its hash.
type keyCommand struct{}

// Name implements subcommands.Command.
func (*keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*keyCommand) Synopsis() string { return "make a key for an account or operator, with its hash" }

// Usage implements subcommands.Command.
func (*keyCommand) Usage() string { return "yardhall key\n\n" }

// SetFlags implements subcommands.Command.
func (*keyCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	key := keys.New()
	_, _ = fmt.Printf("key  %s\nhash %s\n", key, keys.Hash(key))
	return subcommands.ExitSuccess
}

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
