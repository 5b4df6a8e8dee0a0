// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package demo

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/site"
)

const (
	rolloutTime = 12 * time.Second
	// statusInterval is the time between two looks at a rollout.
	statusInterval = 500 * time.Millisecond
	// registerLimit bounds the wait for workers to serve.
	registerLimit = 15 * time.Second
	// endMargin is the time beyond its own in which a rollout has to end.
	endMargin = 15 * time.Second
)

// RunRollout starts a fleet with a route table and rolls a good and a bad version out, as an operator
// would, while requests go on. It prints what each of the operator's calls shows.
func RunRollout(ctx context.Context, o Options) error {
	o.Time, o.Net = cmp.Or(o.Time, rolloutTime), cmp.Or(o.Net, seededNet)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(o.Out, format+"\n", args...) }
	p("starting %d replicas and %d entry hosts on loopback, and the service %q with %d workers of v1 ...", replicas, entries, service, workersPerVersion)
	f, err := startSeeded(ctx, o.Dir, o.Net)
	if err != nil {
		return err
	}
	defer f.stop()
	old, err := startRelease(ctx, f, "v1", false)
	if err != nil {
		return err
	}
	d := &rolloutDemo{fleet: f, print: p, within: o.Time, traffic: &traffic{urls: f.entryURLs()}}
	defer func() { d.serving.end() }()
	d.serving = old
	if err := site.Await(ctx, registerLimit, "workers that serve", func() bool { return d.serves() && d.knowsVersion(ctx) }); err != nil {
		return errors.Wrap(err, "start the service")
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); d.traffic.run(trafficCtx) }()
	defer func() { stopTraffic(); <-ended }()
	p("%d requests a second are sent to the entry hosts\n", requestRate)
	if err := d.try(ctx, "v2", false); err != nil {
		return err
	}
	if err := d.try(ctx, "v3", true); err != nil {
		return err
	}
	return d.explain(ctx)
}

// rolloutDemo is the state of a demonstration.
type rolloutDemo struct {
	fleet   *seeded
	print   func(format string, args ...any)
	within  time.Duration
	traffic *traffic
	// serving is the release of the current version.
	serving *release
}

// serves reports whether all entry hosts answer requests.
func (d *rolloutDemo) serves() bool {
	t := traffic{}
	for _, url := range d.traffic.urls {
		t.request(url)
	}
	return t.failed.Load() == 0
}

// try starts workers of a version, rolls it out, and stops the workers that lose.
func (d *rolloutDemo) try(ctx context.Context, version ident.Version, bad bool) error {
	kind := "a good version"
	if bad {
		kind = "a version of which half of the answers fail"
	}
	d.print("%s: %s; its %d workers register and get nothing yet", version, kind, workersPerVersion)
	next, err := startRelease(ctx, d.fleet, version, bad)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // Until the hosts know the workers.
	before := next.ran()
	d.traffic.take()
	state, err := d.rollOut(ctx, version)
	if err != nil {
		next.end()
		return err
	}
	sent, failed := d.traffic.take()
	d.print("%d requests were sent meanwhile, of which %d failed for their callers; %s ran %d, and %d before the order\n",
		sent, failed, version, next.ran()-before, before)
	if state == "complete" {
		next, d.serving = d.serving, next
	}
	next.end()
	return nil
}

// rollOut orders a rollout and shows it until it has ended.
func (d *rolloutDemo) rollOut(ctx context.Context, version ident.Version) (state string, err error) {
	d.print("$ yardhall rollout start %s %s -within %s", service, version, d.within)
	begun := time.Now()
	order := operators.RolloutOrder{Service: service, Version: version, Duration: d.within.String()}
	call := operators.Request{Method: http.MethodPost, Path: "/v1/rollouts", Body: order, Key: keys.New()}
	if _, err := d.fleet.operator().Do(ctx, call, nil); err != nil {
		return "", errors.Wrap(err, "order the rollout")
	}
	d.print("start: %s, acknowledged after %s", service, time.Since(begun).Round(time.Millisecond))
	d.print("$ yardhall rollout status %s", service)
	shown := ""
	for ; time.Since(begun) < d.within+endMargin && ctx.Err() == nil; time.Sleep(statusInterval) {
		s, err := d.status(ctx)
		if err != nil {
			d.print("%v", err) // A replica may be unable to confirm its state for a moment.
			continue
		}
		if line := fmt.Sprintf("%s %s %g", s.State, s.Phase, s.Share); line != shown {
			shown = line
			d.print("%6s  %-8s current %s, new %s, phase %s, share %g %s", s.Elapsed, s.State, s.Current, s.Version, s.Phase, s.Share, s.Reason)
		}
		if s.State != "running" {
			return s.State, nil
		}
	}
	return "", errors.Errorf("the rollout has not ended %s after its time", endMargin)
}

func (d *rolloutDemo) status(ctx context.Context) (s operators.RolloutStatus, err error) {
	_, err = d.fleet.operator().Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/rollouts/" + service}, &s)
	return s, errors.Wrap(err, "show the rollout")
}

// knowsVersion reports whether the leader has found the service's current version.
func (d *rolloutDemo) knowsVersion(ctx context.Context) bool {
	var list operators.RolloutList
	_, err := d.fleet.operator().Do(ctx, operators.Request{Method: http.MethodGet, Path: "/v1/rollouts"}, &list)
	return err == nil && slices.ContainsFunc(list.Rollouts, func(s operators.RolloutStatus) bool { return s.Current == d.serving.version })
}

// explain shows the audit trail.
func (d *rolloutDemo) explain(ctx context.Context) error {
	object := "rollout/" + service
	d.print("$ yardhall explain %s", object)
	var trail []catalog.Audit
	call := operators.Request{Method: http.MethodGet, Path: "/v1/audit?object=" + url.QueryEscape(object)}
	if _, err := d.fleet.operator().Do(ctx, call, &trail); err != nil {
		return errors.Wrap(err, "show the audit trail")
	}
	for _, a := range trail {
		d.print("%s  %s  %s  %s", a.At.Format(time.TimeOnly), a.Actor, a.Action, a.Detail)
	}
	return nil
}
