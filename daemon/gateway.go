// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/platform"
	"github.com/yardhall/yardhall/settings"
)

const (
	// silentBeats is how many heartbeats a worker may miss.
	silentBeats = 5
	// balancerNotice is how long a stopping host goes on taking connections,
	// until the balancer has noticed that it is not ready.
	balancerNotice = 3 * time.Second
	// stopMargin is kept from the time that a planned stop may take.
	stopMargin = 700 * time.Millisecond
	// callerIdle is how long a caller's connection may rest where the route table
	// does not say.
	callerIdle = time.Minute
	// workerIdle is how long a connection of a worker or the operator may rest.
	workerIdle = 10 * time.Second
	// callerHeader is how long a caller may take to send a request's head there.
	callerHeader = 10 * time.Second
)

func gatewaySettings(s settings.Settings) requests.Settings {
	g := s.Gateway
	return requests.Settings{
		Zone: ident.Zone(s.Host.Zone), KeyLease: g.KeyLease,
		RetryShare: settings.Number(g.RetryShare), RetryExtra: settings.Number(g.RetryExtra),
		LoadFactor: settings.Number(g.LoadFactor), StartTime: startTime(),
	}
}

// Times of the replicated log in a seeded fleet, whose entry hosts wait for a
// leader's word: shorter than elsewhere, as an election is an outage there.
const (
	seededElection  = 900 * time.Millisecond
	seededHeartbeat = 200 * time.Millisecond
)

// startTime is how long an entry host may need to become able where replicas start
// at the same time: the wait of a restarted replica, the longest draw of an election,
// and a question to the leader.
func startTime() time.Duration { return 2*seededElection + firstQuestion }

// firstQuestion is the time from a leader's election until a host knows of it: its
// interval between questions, and as much for the answer.
const firstQuestion = 500 * time.Millisecond

func raftOptions(s settings.Settings, o raft.Options) raft.Options {
	if s.Seeded() && o.Election == 0 {
		o.Election, o.Heartbeat = seededElection, seededHeartbeat
	}
	return o
}

// addGateway opens the ports of the route table.
func (d *Daemon) addGateway(g *run.Group) error {
	s := d.settings.Gateway
	from, err := localAddr(d.settings.Peer.Listen)
	if err != nil {
		return err
	}
	d.workers = gateway.NewPool(from)
	d.gateway = gateway.NewServer(gateway.Deps{Core: d.loop, Pool: d.workers, Headers: platform.Headers(), Observe: d.observeRequest()})
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
	return func(o gateway.Observation) {
		d.metrics.observeRequest(o)
		lines.observe(o)
	}
}

func listenGateway(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: sockets.Control(gateway.UserTimeout)}).Listen(context.Background(), "tcp", address)
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
		d.loop.Post(host.Reseeded{Seeds: s.SeedHosts()})
	}
}

// awaitGateway goes on serving until the balancer has noticed the stop and
// every request in flight has ended.
func (d *Daemon) awaitGateway() error {
	begun := time.Now()
	if d.settings.Gateway.Listen == "" {
		time.Sleep(handOverTime)
		return context.Canceled
	}
	deadline := begun.Add(d.settings.Gateway.DrainTime - stopMargin)
	time.Sleep(balancerNotice)
	// Callers' kept connections must not bring requests until the end. They are
	// left open, as a close could cross a request; each answer closes its own.
	d.loop.Route(requests.Closing{})
	for time.Now().Before(deadline) {
		if d.gateway.InFlight.Load() == 0 {
			break
		}
		time.Sleep(idlePoll)
	}
	return context.Canceled
}
