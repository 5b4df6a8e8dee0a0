// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/listing"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/settings"
)

const (
	// operatorReadTimeout and operatorHeader bound an operator's call, in time and bytes.
	// Chosen, not measured.
	operatorReadTimeout = 10 * time.Second
	operatorHeader      = 16 << 10
)

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

func (d *Daemon) addPeers(g *run.Group) {
	g.Add(func() error { return d.server.Serve(d.peerL) }, func(error) {
		_ = d.peerL.Close()
		d.server.Close()
	})
}

func (d *Daemon) addCallers(g *run.Group) error {
	s := d.settings.Callers
	api := callers.New(callers.Deps{
		Core: d.loop, Targets: d.targets, Observe: d.metrics.observe, ObservePanic: d.observePanic(), Responses: d.loop.answers,
		Options: callers.Options{
			MaxBody: settings.Bytes(s.MaxBody), WriteTimeout: s.WriteStall, MaxDuration: s.MaxStream,
			Host: d.settings.ID(), Incarnation: d.loop.State().Incarnation(),
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
			stopHTTP(l, server, d.shutdownLimit)
		}
		_ = server.Close()
		close(ended)
	})
}

func (d *Daemon) addOperators(g *run.Group) error {
	s := d.settings.Operators
	api := operators.New(operators.Deps{
		Core: d.loop, KeyHashes: s.KeyHashes, Counters: d.metrics.handler(), Rollouts: d.loop.rolloutCore(),
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
		reader.Run(ctx, s.Interval, func(list []host.ListedTarget) { d.loop.post(host.TargetsListed{Targets: list}) },
			func(err error) { d.options.Log.Error(err, "platform list cannot be read") })
		return nil
	}, func(error) { cancel() })
}
