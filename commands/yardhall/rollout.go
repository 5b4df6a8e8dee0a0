// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/operators"
)

// rolloutCommand starts, shows and reverts rollouts of target versions.
type rolloutCommand struct {
	c       *connection
	request string
	within  time.Duration
}

// Name implements subcommands.Command.
func (*rolloutCommand) Name() string { return "rollout" }

// Synopsis implements subcommands.Command.
func (*rolloutCommand) Synopsis() string {
	return "move a service to another version of its targets, show it, or revert it"
}

// Usage implements subcommands.Command.
func (*rolloutCommand) Usage() string {
	return `yardhall rollout start SERVICE VERSION [-within 12s]
yardhall rollout status [SERVICE]
yardhall rollout revert SERVICE

start begins to move SERVICE to the targets of VERSION, which run beside those of the
current version, and returns once the order is stored. The rollout ends by itself:
complete within the given time if the version is good, reverted otherwise. revert ends
a running rollout; the current version then serves all requests. status shows the newest
rollout of each service.

Exit code 3: another rollout of the service is running, or the rollout has ended.
Exit code 4: not known whether it was done; run it again with the same -request.

Example:
  yardhall rollout start drafter v2 -within 12s
  yardhall rollout status drafter

`
}

// SetFlags implements subcommands.Command.
func (r *rolloutCommand) SetFlags(f *flag.FlagSet) {
	r.c.setFlags(f)
	f.StringVar(&r.request, "request", "", "key of this request, to repeat it after a lost answer")
	f.DurationVar(&r.within, "within", 12*time.Second, "time for the whole rollout")
}

// Execute implements subcommands.Command.
func (r *rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseMixed(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	call, ok := r.call(args)
	if !ok {
		return subcommands.ExitUsageError
	}
	client, err := r.c.client()
	if err != nil {
		return failed(err)
	}
	if args[0] == "status" {
		return r.show(ctx, client, call, len(args) == 1)
	}
	if _, err := client.Do(ctx, call, nil); err != nil {
		if call.Key != "" {
			err = errors.Wrapf(err, "request %s", call.Key)
		}
		return failed(err)
	}
	_, _ = fmt.Printf("%s: %s\n", args[0], args[1])
	return subcommands.ExitSuccess
}

// parseMixed returns the arguments and parses flags that stand between or after them, at which the
// flag package stops.
func parseMixed(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, errors.Wrap(err, "parse flags")
		}
	}
	return args, nil
}

// call returns what the arguments ask for; false if they are wrong.
func (r *rolloutCommand) call(args []string) (operators.Request, bool) {
	const path = "/v1/rollouts"
	if len(args) == 0 {
		return operators.Request{}, false
	}
	if r.request == "" {
		r.request = keys.New()
	}
	switch verb, rest := args[0], args[1:]; {
	case verb == "start" && len(rest) == 2:
		order := operators.RolloutOrder{Service: ident.Service(rest[0]), Version: ident.Version(rest[1]), Duration: r.within.String()}
		return operators.Request{Method: http.MethodPost, Path: path, Body: order, Key: r.request}, true
	case verb == "revert" && len(rest) == 1:
		return operators.Request{Method: http.MethodPost, Path: path + "/" + url.PathEscape(rest[0]) + "/revert", Key: r.request}, true
	case verb == "status" && len(rest) == 1:
		return operators.Request{Method: http.MethodGet, Path: path + "/" + url.PathEscape(rest[0])}, true
	case verb == "status" && len(rest) == 0:
		return operators.Request{Method: http.MethodGet, Path: path}, true
	}
	return operators.Request{}, false
}

// show prints one rollout, or all of them.
func (r *rolloutCommand) show(ctx context.Context, client *operators.Client, call operators.Request, all bool) subcommands.ExitStatus {
	var list operators.RolloutList
	var one operators.RolloutStatus
	out := any(&list)
	if !all {
		out = &one
	}
	if _, err := client.Do(ctx, call, out); err != nil {
		return failed(err)
	}
	if r.c.json {
		printJSON(out)
		return subcommands.ExitSuccess
	}
	if !all {
		list.Rollouts = append(list.Rollouts, one)
	}
	var rows [][]string
	for _, s := range list.Rollouts {
		rows = append(rows, []string{
			string(s.Service), s.State, string(s.Current), string(s.Version), s.Phase,
			strconv.FormatFloat(s.Share, 'f', -1, 64), s.Elapsed, s.Duration, s.Reason,
		})
	}
	printTable([]string{"SERVICE", "STATE", "CURRENT", "VERSION", "PHASE", "SHARE", "ELAPSED", "WITHIN", "REASON"}, rows)
	return subcommands.ExitSuccess
}
