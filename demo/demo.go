// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package demo runs a whole site in one process, sends it returning chats while
// an engine dies, another drains and an operator's plan is confirmed, and
// reports what came of it beside the same run with round robin.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Options{Dir: dir, Out: os.Stdout})
//	err = demo.RunRollout(ctx, demo.Options{Dir: dir, Out: os.Stdout})
//
// RunRollout runs a fleet with a route table and rolls versions of its workers out.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/site"
	"github.com/yardhall/yardhall/standin"
)

// Options shape a demo; zero fields take defaults.
type Options struct {
	// Dir is a folder for data; it must exist.
	Dir string
	// Out takes progress and report.
	Out io.Writer
	// Time is how long each of the two runs sends chats.
	Time time.Duration
	// Chats is the number of chats that return.
	Chats int
	// Net is the second byte of the loopback addresses.
	Net int
}

const (
	defaultTime  = 8 * time.Second
	defaultChats = 60
	engineSlots  = 24
	engineCache  = 1500
	engines      = 4
	zones        = 3
	killAt       = 0.3
	drainAt      = 0.5
	confirmAt    = 0.6
)

// Report is what a demo measured.
type Report struct {
	Yardhall   Figures
	RoundRobin Figures
	// InForce is the time from a confirmed plan's answer to its version on
	// all hosts.
	InForce time.Duration
	// ControlBytes is the mean of bytes a second per host for coordination and
	// probes, both ways.
	ControlBytes float64
	Once         OnceFigures
	PlanDone     bool
}

// Figures are the measures of one run.
type Figures struct {
	Requests int
	Failed   int
	// FirstFailure is the first failed answer.
	FirstFailure string
	// Reuse is the share of returning chats' prompt tokens served from cache.
	Reuse float64
	// Skew is the busiest engine's mean requests in flight over the mean of
	// all live engines.
	Skew float64
}

// OnceFigures count calls that must not run twice.
type OnceFigures struct {
	Sent    int
	Resent  int
	RunOnce int
	RunMore int
	NotRun  int
}

// Run makes both runs.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Time = cmp.Or(o.Time, defaultTime)
	o.Chats = cmp.Or(o.Chats, defaultChats)
	o.Net = cmp.Or(o.Net, 90)
	if o.Out == nil {
		o.Out = os.Stdout
	}
	var r Report
	if err := runFleet(ctx, o, &r); err != nil {
		return r, err
	}
	if err := runRoundRobin(ctx, o, &r); err != nil {
		return r, err
	}
	r.print(o.Out)
	return r, nil
}

func builder(o Options) site.Builder {
	return site.Builder{
		Zones: zones, HostsPerZone: 2, EnginesPerZone: engines, Dir: o.Dir, Net: o.Net, Multiple: 1.5,
		Engine: standin.EngineOptions{Slots: engineSlots, CacheBlocks: engineCache, ChecksFence: true, LoadTime: 200 * time.Millisecond},
	}
}

// runFleet sends the load through a site of yardhall hosts.
func runFleet(ctx context.Context, o Options, r *Report) error {
	o.Dir = filepath.Join(o.Dir, "fleet")
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return errors.Wrap(err, "data folder")
	}
	_, _ = fmt.Fprintln(o.Out, "starting 6 hosts in 3 zones with 12 engines and a plain service ...")
	s, err := builder(o).Start(ctx)
	if err != nil {
		return errors.Wrap(err, "start site")
	}
	defer s.Stop()
	urls := make([]string, len(s.Hosts))
	for i := range s.Hosts {
		urls[i] = s.URL(i)
	}
	begun := time.Now()
	bytes := controlBytes(s)
	l := &load{options: o, urls: urls, key: s.AccountKey, engines: s.Engines, name: "yardhall"}
	l.at(killAt, func() { s.Engines[1].Close() })
	l.at(drainAt, func() { s.Engines[2].SetLeaving(true) })
	l.at(confirmAt, func() { r.InForce, r.PlanDone, err = confirm(ctx, s) })
	r.Yardhall = l.run(ctx)
	if err != nil {
		return err
	}
	r.ControlBytes = float64(controlBytes(s)-bytes) / time.Since(begun).Seconds() / float64(len(s.Hosts))
	r.Once = once(ctx, s)
	return nil
}

func controlBytes(s *site.Site) int64 {
	var n int64
	for _, h := range s.Hosts {
		n += h.Daemon.ControlBytes()
	}
	return n
}

// runRoundRobin sends the same load to the engines directly, in turn.
func runRoundRobin(ctx context.Context, o Options, r *Report) error {
	var started []*standin.Engine
	var urls []string
	for i := range zones * engines {
		e, err := standin.StartEngine(fmt.Sprintf("127.%d.9.%d:7200", o.Net, i+1), standin.EngineOptions{
			Models: []string{site.Model}, Slots: engineSlots, CacheBlocks: engineCache,
		})
		if err != nil {
			return errors.Wrap(err, "start engine")
		}
		defer e.Close()
		started = append(started, e)
		urls = append(urls, "http://"+e.Address())
	}
	l := &load{options: o, urls: urls, engines: started, name: "round robin", direct: true}
	l.at(killAt, func() { started[1].Close() })
	l.at(drainAt, func() { started[2].SetLeaving(true) })
	r.RoundRobin = l.run(ctx)
	return nil
}

// confirm states an intent, confirms its plan and waits until the plan's end
// is in force on every host.
func confirm(ctx context.Context, s *site.Site) (time.Duration, bool, error) {
	c := s.Operator()
	intent := config.Intent{ID: "second-model", Service: site.EngineService, Model: site.SecondModel}
	for z := range zones {
		intent.Replicas = append(intent.Replicas, config.ZoneReplicas{Zone: site.ZoneName(z), Count: 1})
	}
	var w operators.Written
	if _, err := c.Do(ctx, operators.Request{Method: http.MethodPost, Path: "/v1/plans", Body: intent, Key: keys.New()}, &w); err != nil {
		return 0, false, errors.Wrap(err, "state intent")
	}
	_, err := c.Do(ctx, operators.Request{
		Method: http.MethodPost, Path: "/v1/plans/" + string(w.Plan) + "/confirm", Match: "1", Key: keys.New(),
	}, &w)
	if err != nil {
		return 0, false, errors.Wrap(err, "confirm plan")
	}
	begun := time.Now()
	err = site.Await(ctx, 10*time.Second, "version in force", func() bool {
		for _, h := range s.Hosts {
			if h.Daemon.State().Config().Version < w.Version {
				return false
			}
		}
		return true
	})
	took := time.Since(begun)
	if err != nil {
		return took, false, errors.Wrap(err, "in force")
	}
	done := site.Await(ctx, 10*time.Second, "plan done", func() bool {
		return s.Hosts[0].Daemon.State().Config().ModelCount(site.SecondModel) == zones
	}) == nil
	return took, done, nil
}

func (r Report) print(out io.Writer) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	p("")
	p("%-34s %12s %12s", "", "yardhall", "round robin")
	p("%-34s %12d %12d", "requests answered", r.Yardhall.Requests-r.Yardhall.Failed, r.RoundRobin.Requests-r.RoundRobin.Failed)
	p("%-34s %12d %12d", "requests failed", r.Yardhall.Failed, r.RoundRobin.Failed)
	if r.Yardhall.Failed > 0 {
		p("  the first: %s", r.Yardhall.FirstFailure)
	}
	p("%-34s %12.2f %12.2f", "cache reuse of returning prompts", r.Yardhall.Reuse, r.RoundRobin.Reuse)
	p("%-34s %12.2f %12.2f", "busiest engine over mean", r.Yardhall.Skew, r.RoundRobin.Skew)
	p("%-34s %12.0f", "control bytes/s per host", r.ControlBytes)
	p("%-34s %12s", "confirmed change in force after", r.InForce.Round(time.Millisecond))
	p("%-34s %12t", "plan carried out", r.PlanDone)
	p("not-repeatable calls: %d sent, each resent %dx over other hosts: %d ran once, %d ran more than once",
		r.Once.Sent, resends, r.Once.RunOnce, r.Once.RunMore)
}
