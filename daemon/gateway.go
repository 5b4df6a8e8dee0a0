// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/logs"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/platform"
	"github.com/yardhall/yardhall/settings"
)

const (
	// callerIdle is how long a caller's connection may rest where the route table
	// does not say. Chosen, not measured.
	callerIdle = time.Minute
	// workerIdle is how long a connection of a worker or the operator may rest.
	// Chosen, not measured.
	workerIdle = 10 * time.Second
	// callerHeader is how long a caller may take to send a request's head there.
	// Chosen, not measured.
	callerHeader = 10 * time.Second
)

func gatewaySettings(s settings.Settings) requests.Settings {
	g, limits := s.Gateway, rolloutLimits(s.Gateway)
	return requests.Settings{
		Host: s.ID(), Zone: ident.Zone(s.Host.Zone), KeyLease: g.KeyLease, ZoneDrain: g.ZoneDrain,
		RetryShare: settings.Number(g.RetryShare), RetryExtra: settings.Number(g.RetryExtra),
		LoadFactor: settings.Number(g.LoadFactor), StartupTimeout: host.MaxStartupTime(),
		RolloutShare: limits.Share, RolloutLease: limits.Revert / 2,
	}
}

// addGateway opens the ports of the route table.
func (d *Daemon) addGateway(g *run.Group) error {
	s := d.settings.Gateway
	from, err := localAddr(d.settings.Peer.Listen)
	if err != nil {
		return err
	}
	d.workers = gateway.NewPool(from, d.options.WrapWorkerDial)
	d.gateway = gateway.NewServer(gateway.Deps{
		Core: d.loop, Pool: d.workers, Tunnels: d.pool, Headers: platform.Headers(),
		Memory: d.settings.Host.MemoryBytes(), MaxHeader: settings.Bytes(s.MaxResponseHeader), MaxBuffered: settings.Bytes(s.MaxBufferedResponses),
		Observe: d.observeRequest(), ObserveIrregular: d.observeIrregular(), ObservePanic: d.observePanic(),
	})
	d.loop.breakOff, d.loop.probeWorker = d.gateway.AbortAttempt, d.gateway.Probe
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, d.readiness)
	for _, port := range []struct {
		address string
		server  httpServer
	}{
		{s.Listen, &limitedServer{handler: d.gateway, limits: d.loop.Limits}},
		{s.Ready, plainServer(ready)},
		{s.Control, newPacedServer(platform.NewControl(d.loop).Handler(), workerIdle, d.loop.pace)},
		{s.Relay, newPacedServer(platform.NewControl(d.loop).RelayHandler(), workerIdle, d.loop.pace)},
	} {
		if port.address == "" {
			continue
		}
		l, err := listenGateway(port.address)
		if err != nil {
			return err
		}
		d.addHTTP(g, l, port.server)
	}
	return nil
}

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle}
}

// observeRequest counts and logs each ended request.
func (d *Daemon) observeRequest() func(gateway.Observation) {
	lines := newRequestLog(d.options.Log)
	lines.rollouts = d.loop.RolloutsEnabled()
	return func(o gateway.Observation) {
		d.metrics.observeRequest(o)
		lines.observe(o)
	}
}

// irregularLines bounds the lines a second on irregular bytes from workers.
const irregularLines = 20

// observeIrregular counts and logs irregular bytes from workers.
func (d *Daemon) observeIrregular() func(gateway.Irregularity) {
	budget := &logs.Budget{PerSecond: irregularLines}
	return func(i gateway.Irregularity) {
		d.metrics.irregular.Add(string(i.Kind), 1)
		if i.Kind == gateway.UnmarkedRefusal {
			d.metrics.unmarkedRefusals.add(i.Worker)
		}
		ok, skipped := budget.Allow(time.Now())
		if skipped > 0 {
			d.options.Log.Info("irregular answer lines skipped", "lines", skipped)
		}
		if ok {
			d.options.Log.Info("irregular answer", "kind", string(i.Kind), "worker", string(i.Worker), "conn", i.LocalAddress,
				"request", string(i.Request), "reused", i.Reused)
		}
	}
}

// panicLines bounds the lines a second on panics of handlers, maxStack the stack in each.
const (
	panicLines = 2
	maxStack   = 4 << 10
)

// observePanic counts and logs panics of handlers.
func (d *Daemon) observePanic() func(ident.Request, any) {
	budget := &logs.Budget{PerSecond: panicLines}
	return func(request ident.Request, value any) {
		d.metrics.panics.Add(1)
		if ok, _ := budget.Allow(time.Now()); ok {
			stack := debug.Stack()
			d.options.Log.Info("handler panicked", "request", string(request), "value", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStack)]))
		}
	}
}

func listenGateway(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: sockets.Control(gateway.TCPUserTimeout)}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen")
}

// readiness tells the balancer whether this host takes requests.
func (d *Daemon) readiness(w http.ResponseWriter, _ *http.Request) {
	if !d.loop.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload takes what may change while the process runs: where replicas can be
// found.
func (d *Daemon) Reload(s settings.Settings) {
	if s.Seeded() {
		d.loop.Post(host.SeedsChanged{Seeds: s.SeedHosts()})
	}
}
