// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package daemon puts one yardhall process together: the core, its event loop,
// the ports and the disk.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.Options{Log: log})
//	err = d.Run(ctx) // until ctx ends: then a planned stop
//
// Each part is an actor of an oklog/run group.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/listing"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/peers"
	"github.com/yardhall/yardhall/settings"
	"github.com/yardhall/yardhall/storage"
	"github.com/yardhall/yardhall/targets"
)

// Options are what does not come from the settings file.
type Options struct {
	Log logr.Logger
	// Raft are the times of the replicated log; zero takes defaults.
	Raft raft.Options
	// Blocked hosts and addresses are out of reach; tests cut zones off.
	BlockedHost    func(ident.Host) bool
	BlockedAddress func(string) bool
	// WrapFile stands between the log and its files; tests put faults in.
	WrapFile func(storage.File) storage.File
}

// Daemon is one process.
type Daemon struct {
	settings settings.Settings
	options  Options
	loop     *loop
	pool     *peers.Pool
	server   *peers.Server
	targets  *targets.Client
	counters *peers.Counters
	metrics  *metrics
	gateway  *gateway.Server
	workers  *gateway.Pool
	peerL    net.Listener
	callerL  net.Listener
	operL    net.Listener
	kill     context.CancelFunc
	killed   context.Context //nolint:containedctx // Ends the process whatever Run's own context says.
}

// New opens the data folder and the ports.
func New(s settings.Settings, o Options) (*Daemon, error) {
	d := &Daemon{settings: s, options: o, counters: &peers.Counters{}}
	d.killed, d.kill = context.WithCancel(context.Background())
	incarnation := uint64(time.Now().UnixMilli())
	from, err := localAddr(s.Peer.Listen)
	if err != nil {
		return nil, err
	}
	popts, err := d.peerOptions(from, incarnation)
	if err != nil {
		return nil, err
	}
	popts.First = d.goesFirst
	d.pool = peers.NewPool(popts)
	d.pool.Know(append(s.Replicas.Hosts(), s.Neighbors.Hosts()...))
	d.targets = targets.NewClient(targets.Options{
		DialTimeout: s.Targets.DialTimeout, ProbeTimeout: s.Targets.ProbeTimeout, StreamStall: s.Targets.StreamStall,
		From: from, Blocked: o.BlockedAddress,
	})
	hs := host.Settings{
		ID: s.ID(), Zone: ident.Zone(s.Host.Zone), Address: s.Peer.Address(), Serves: s.Serves(),
		Replicas: s.Replicas.Hosts(), Neighbours: s.Neighbors.Hosts(), Raft: raftOptions(s, o.Raft),
		Incarnation: incarnation, Chats: s.Host.Chats, Seeds: s.SeedHosts(), Voters: 2*s.Replicas.Losses + 1,
		SilentAfter: silentBeats * s.Gateway.Heartbeat, Requests: gatewaySettings(s), Relay: s.Gateway.Relay,
		HubsAbove: s.Replicas.HubsAbove, InForce: min(s.Gateway.InForce, s.Gateway.Revoke),
	}
	log, boot, err := d.openStorage(&hs)
	if err != nil {
		return nil, err
	}
	state := host.New(hs, incarnation, time.Now())
	if log != nil {
		if state, err = state.WithReplica(boot, time.Now()); err != nil {
			return nil, errors.Wrap(err, "read replicated state")
		}
	}
	d.loop = newLoop(state, o.Log, d.pool, d.targets)
	if log != nil {
		d.loop.disk = newDiskWriter(d.loop, log)
	}
	d.server = peers.NewServer(popts, func(from ident.Host, m host.Message) {
		d.loop.post(host.Received{From: from, Message: m})
	})
	d.metrics = newMetrics(d)
	return d, d.listen()
}

// goesFirst tells whether connections with an address are opened before others: on a
// replica of a seeded fleet those with other replicas, elsewhere all.
func (d *Daemon) goesFirst(ip netip.Addr) bool {
	state := d.loop.State()
	if !d.settings.Seeded() || !state.Raft().Active() {
		return true
	}
	return slices.ContainsFunc(state.ReplicaHosts(), func(h ident.Host) bool {
		a, err := netip.ParseAddrPort(string(h))
		return err == nil && a.Addr().Unmap() == ip
	})
}

func localAddr(listen string) (*net.TCPAddr, error) {
	a, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	return &net.TCPAddr{IP: a.Addr().AsSlice()}, nil
}

func (d *Daemon) peerOptions(from *net.TCPAddr, boot uint64) (peers.Options, error) {
	s := d.settings
	o := peers.Options{
		Self: s.ID(), Fleet: s.Host.Fleet, Key: s.Peer.Key, MaxMessage: settings.Bytes(s.Peer.MaxSize),
		Counters: d.counters, Boot: boot, Boots: &peers.Boots{}, From: from, Blocked: d.options.BlockedHost,
	}
	if s.Peer.Cert == "" {
		return o, nil
	}
	config, err := mutualTLS(s.Peer.Cert, s.Peer.KeyFile, s.Peer.CA)
	o.TLS = config
	return o, err
}

func (d *Daemon) listen() error {
	var err error
	if d.peerL, err = listenTCP(d.settings.Peer.Listen); err != nil {
		return err
	}
	if d.settings.Callers.Listen != "" {
		if d.callerL, err = listenTCP(d.settings.Callers.Listen); err != nil {
			return err
		}
	}
	if d.settings.Operators.Listen != "" {
		d.operL, err = listenTCP(d.settings.Operators.Listen)
	}
	return err
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "listen")
}

// Run serves until ctx ends, then stops as planned: not ready first, no new
// requests after a while, every request in flight finished, then the rest.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(d.killed)
	defer stop()
	var g run.Group
	d.addLoop(inner, &g, stop)
	d.addPeers(&g)
	if d.callerL != nil {
		if err := d.addCallers(&g); err != nil {
			return err
		}
	}
	if d.operL != nil {
		if err := d.addOperators(&g); err != nil {
			return err
		}
	}
	d.addPlatform(inner, &g)
	if err := d.addMetrics(&g); err != nil {
		return err
	}
	if err := d.addGateway(&g); err != nil {
		return err
	}
	g.Add(func() error { return d.awaitStop(ctx, inner) }, func(error) { stop() })
	err := g.Run()
	d.pool.Close()
	d.targets.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "run")
}

// awaitStop waits for ctx and then drains.
func (d *Daemon) awaitStop(ctx, inner context.Context) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return context.Canceled
	}
	d.options.Log.Info("planned stop", "host", d.settings.Host.ID)
	d.loop.post(host.Drain{})
	if d.settings.Seeded() {
		return d.awaitGateway()
	}
	deadline := time.Now().Add(d.settings.Callers.DrainLimit)
	if d.callerL != nil {
		// The balancer needs time to notice; meanwhile requests are taken.
		time.Sleep(d.settings.Callers.DrainNotice)
		_ = d.callerL.Close()
	} else {
		time.Sleep(handOverTime)
	}
	for time.Now().Before(deadline) && !d.loop.State().Idle() {
		time.Sleep(idlePoll)
	}
	time.Sleep(idlePoll)
	return context.Canceled
}

const (
	// handOverTime lets a replica pass on its leadership.
	handOverTime = 500 * time.Millisecond
	idlePoll     = 50 * time.Millisecond
)

func (d *Daemon) addLoop(ctx context.Context, g *run.Group, stop func()) {
	g.Add(func() error { return d.loop.run(ctx) }, func(error) { stop() })
	if d.loop.disk == nil {
		return
	}
	g.Add(func() error {
		err := d.loop.disk.run(ctx)
		_ = d.loop.disk.log.Close()
		return err
	}, func(error) { stop() })
}

func (d *Daemon) addPeers(g *run.Group) {
	g.Add(func() error { return d.server.Serve(d.peerL) }, func(error) {
		_ = d.peerL.Close()
		d.server.Close()
	})
}

func (d *Daemon) addCallers(g *run.Group) error {
	s := d.settings.Callers
	api := callers.New(callers.Deps{
		Core: d.loop, Targets: d.targets, Observe: d.metrics.observe, Answers: d.loop.answers,
		Options: callers.Options{
			MaxBody: settings.Bytes(s.MaxBody), WriteStall: s.WriteStall, MaxStream: s.MaxStream,
			ID: d.settings.ID(), Incarnation: d.loop.State().Incarnation(),
		},
	})
	l, err := withTLS(d.callerL, s.Cert, s.KeyFile)
	if err != nil {
		return err
	}
	d.addHTTP(g, l, &http.Server{
		Handler: api.Handler(), ReadTimeout: s.ReadTimeout, IdleTimeout: s.IdleTimeout,
		MaxHeaderBytes: int(settings.Bytes(s.MaxHeader)),
	})
	return nil
}

// shutdownTime is what handlers get to write their last bytes; by then no
// request is in flight in the core.
const shutdownTime = 5 * time.Second

func (d *Daemon) addHTTP(g *run.Group, l net.Listener, server httpServer) {
	ended := make(chan struct{})
	g.Add(func() error {
		err := server.Serve(l)
		// A closed listener alone must not end the group: requests in flight
		// go on until the planned stop is over.
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "serve")
		}
		<-ended
		return nil
	}, func(error) {
		if d.killed.Err() == nil {
			stopHTTP(l, server)
		}
		_ = server.Close()
		close(ended)
	})
}

// stopHTTP ends a server as planned: whoever has connected is answered, and
// whoever has not is refused.
func stopHTTP(l net.Listener, server httpServer) {
	if sockets.RefuseNew(l) == nil {
		// Those that have connected until now are accepted meanwhile.
		time.Sleep(acceptTime)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// acceptTime is how long connections that are being opened get to be accepted
// before a listener closes.
const acceptTime = 100 * time.Millisecond

const (
	operatorReadTimeout = 10 * time.Second
	operatorHeader      = 16 << 10
)

func (d *Daemon) addOperators(g *run.Group) error {
	s := d.settings.Operators
	api := operators.New(operators.Deps{
		Core: d.loop, KeyHashes: s.KeyHashes, Counters: d.metrics.handler(),
	})
	l, err := withTLS(d.operL, s.Cert, s.KeyFile)
	if err != nil {
		return err
	}
	d.addHTTP(g, l, &http.Server{
		Handler: api.Handler(), ReadTimeout: operatorReadTimeout, MaxHeaderBytes: operatorHeader,
	})
	return nil
}

func (d *Daemon) addPlatform(ctx context.Context, g *run.Group) {
	s := d.settings.Platform
	if s.URL == "" && s.File == "" {
		return
	}
	reader := listing.NewReader(s.URL, s.File)
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		reader.Run(ctx, s.Interval, func(list []host.ListedTarget) { d.loop.post(host.Listed{Targets: list}) },
			func(err error) { d.options.Log.Error(err, "platform list cannot be read") })
		return nil
	}, func(error) { cancel() })
}

// State returns the newest state of the core.
func (d *Daemon) State() host.State { return d.loop.State() }

// ControlBytes returns the bytes spent on other hosts and on load reports.
func (d *Daemon) ControlBytes() int64 {
	return d.counters.BytesIn.Load() + d.counters.BytesOut.Load() + d.targets.ProbeBytes.Load()
}

// Kill ends Run at once, as a crash would.
func (d *Daemon) Kill() { d.kill() }
