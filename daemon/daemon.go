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
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/gateway"
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
	// WrapWorkerDial stands between the gateway and workers; tests cut hosts off with it.
	WrapWorkerDial func(gateway.DialFunc) gateway.DialFunc
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
	// tunnels is the number of connections to workers that are open for other hosts.
	tunnels atomic.Int64
	// exitAt is when the process must have ended; nil if no planned stop has begun.
	exitAt  atomic.Pointer[time.Time]
	peerL   net.Listener
	callerL net.Listener
	operL   net.Listener
	kill    context.CancelFunc
	killed  context.Context //nolint:containedctx // Ends the process whatever Run's own context says.
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
	popts.SkipHandshakeLimit, popts.DialWorker = d.goesFirst, d.dialForPeer
	d.pool = peers.NewPool(popts)
	d.pool.SetAddresses(append(s.Replicas.Hosts(), s.Neighbors.Hosts()...))
	d.targets = targets.NewClient(targets.Options{
		DialTimeout: s.Targets.DialTimeout, ProbeTimeout: s.Targets.ProbeTimeout, StallTimeout: s.Targets.StreamStall,
		From: from, Blocked: o.BlockedAddress,
	})
	hs := hostSettings(s, o, incarnation)
	log, boot, err := d.openStorage(&hs)
	if err != nil {
		return nil, err
	}
	state := host.New(hs, incarnation, clock.Now())
	if log == nil {
		d.loop = newLoop(state, o.Log, d.pool, d.targets)
	} else if err := d.newReplicaLoop(state, log, boot); err != nil {
		return nil, err
	}
	d.loop.delays.peers = d.counters
	d.server = peers.NewServer(popts, func(from ident.Host, m host.Message) {
		d.loop.post(host.MessageReceived{From: from, Message: m})
	})
	d.metrics = newMetrics(d)
	return d, d.listen()
}

// newReplicaLoop makes the event loop of a replica with the state read from its disk, and what writes there.
func (d *Daemon) newReplicaLoop(state host.State, log *storage.Log, boot raft.Boot) error {
	o, dir, now, timeOfDay := d.options, d.settings.Host.Data, clock.Now(), time.Now()
	state, err := state.WithReplicaState(boot, now)
	if err != nil {
		return errors.Wrap(err, "read replicated state")
	}
	state = state.WithCrashList(keptCrashes(dir, o.Log, timeOfDay), now)
	state = state.WithDepartures(readDepartures(dir, o.Log, now, timeOfDay), now)
	state, streams := withOrigins(state, o, dir, now, timeOfDay)
	d.loop = newLoop(state, o.Log, d.pool, d.targets)
	d.loop.disk = newDiskWriter(d.loop, log)
	d.loop.crashes = newCrashKeeper(o.Log, func(entries []crashes.Entry) error {
		return storage.KeepCrashes(dir, entries, o.WrapFile)
	})
	d.loop.departureDisk = newDepartureWriter(d.loop, dir, o.WrapFile)
	d.loop.origins = streams
	return nil
}

// hostSettings are what the core learns from the settings file.
func hostSettings(s settings.Settings, o Options, incarnation uint64) host.Settings {
	hs := host.Settings{
		ID: s.ID(), Zone: ident.Zone(s.Host.Zone), Address: s.Peer.Address(), Serves: s.Serves(),
		Replicas: s.Replicas.Hosts(), Neighbours: s.Neighbors.Hosts(), Raft: o.Raft,
		Incarnation: incarnation, MaxChatsPerGroup: s.Host.Chats, Seeds: s.SeedHosts(), Voters: 2*s.Replicas.Losses + 1,
		WorkerTimeout: host.WorkerTimeout(s.Gateway.Heartbeat), Requests: gatewaySettings(s), RelayAddress: s.Gateway.Relay,
		HubsAbove: s.Replicas.HubsAbove, InForceWithin: min(s.Gateway.InForce, s.Gateway.Revoke),
		Rollouts: rolloutLimits(s.Gateway),
	}
	if s.Seeded() {
		hs.Raft = host.SeededRaftOptions(o.Raft)
	}
	return hs
}

// goesFirst tells whether connections with an address are opened before others: on a
// replica of a seeded fleet those with other replicas, elsewhere all.
func (d *Daemon) goesFirst(ip netip.Addr) bool {
	state := d.loop.State()
	if !d.settings.Seeded() || !state.Raft().Active() {
		return true
	}
	return slices.ContainsFunc(state.ReplicaAddresses(), func(h ident.Host) bool {
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
		Counters: d.counters, Incarnation: boot, PeerIncarnations: &peers.IncarnationTracker{}, From: from, Blocked: d.options.BlockedHost,
	}
	o.OnReplace = func(to ident.Host, cause peers.ReplaceCause, age time.Duration) {
		d.options.Log.Info("peer connection replaced", "object", string(to), "cause", string(cause), "age_ms", millis(age))
	}
	o.OnUnreachable = func(to ident.Host, err error, failures int) {
		if err == nil {
			d.options.Log.Info("peer reachable", "object", string(to), "failures", failures)
			return
		}
		d.options.Log.Info("peer unreachable", "object", string(to), "reason", err.Error())
	}
	if s.Peer.Cert == "" {
		return o, nil
	}
	config, err := mutualTLS(s.Peer.Cert, s.Peer.KeyFile, s.Peer.CA)
	o.TLS = config
	return o, err
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
	g.Add(func() error { d.loop.crashes.run(ctx); return nil }, func(error) { stop() })
	g.Add(func() error { d.loop.departureDisk.run(ctx); return nil }, func(error) { stop() })
	g.Add(func() error { return d.loop.origins.run(ctx) }, func(error) { stop() })
}

// State returns the newest state of the core.
func (d *Daemon) State() host.State { return d.loop.State() }

// ControlBytes returns the bytes spent on other hosts and on load reports.
func (d *Daemon) ControlBytes() int64 {
	return d.counters.BytesIn.Load() + d.counters.BytesOut.Load() + d.targets.ProbeBytes.Load()
}

// Kill ends Run at once, as a crash would.
func (d *Daemon) Kill() { d.kill() }
