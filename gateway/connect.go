// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/peers"
)

// TunnelOpener opens connections to workers through other hosts. Its errors are those of
// peers.Pool.OpenTunnel.
type TunnelOpener interface {
	OpenTunnel(ctx context.Context, via ident.Host, w registry.Worker) (*peers.Tunnel, error)
}

// connect returns a connection to the attempt's worker by the path that the core chose: an open one, a
// new one, or a tunnel through the first peer that opens one. failure is NeverSent if there is none.
func (x *exchange) connect(ctx context.Context) (conn *workerConn, failure outcome.Attempt) {
	path, pool := x.dispatch.Path, x.server.pool
	if conn := x.withheld.take(processOf(x.dispatch.Worker)); conn != nil {
		x.reused = true
		return conn, nil
	}
	if path.Open {
		if conn := pool.reuse(x.dispatch.Worker, x.dispatch.Request, x.tried, x.dispatch.ReportsConnection, x.server); conn != nil {
			x.reused = true
			return conn, nil
		}
	}
	if path.Direct {
		conn, err := pool.dial(ctx, x.dispatch.Worker, x.server.now)
		if err != nil {
			return nil, outcome.NeverSent{Reason: err.Error(), ConnectTimedOut: IsTimeout(err) && ctx.Err() == nil, ConnectRefused: IsConnRefused(err)}
		}
		return conn, nil
	}
	return x.connectThroughPeer(ctx)
}

// connectThroughPeer opens a tunnel through the first of the path's peers that can, and reports those
// that cannot to the core. An unframed tunnel is used only if no other peer opens one.
func (x *exchange) connectThroughPeer(ctx context.Context) (*workerConn, outcome.Attempt) {
	var unframed *peers.Tunnel
	for _, peer := range x.dispatch.Path.Via {
		tunnel, err := x.openTunnel(ctx, peer)
		if err == nil {
			closeTunnel(unframed)
			x.via = peer
			if tunnel.Framed() {
				return x.tunneledConn(tunnel), nil
			}
			unframed = tunnel
			continue
		}
		if failure := workerFailure(ctx, peer, err); failure != nil && unframed == nil {
			return nil, failure
		} else if failure == nil {
			x.server.core.Decide(requests.TunnelRefused{Peer: peer})
		}
	}
	if unframed != nil {
		return x.tunneledConn(unframed), nil
	}
	return nil, outcome.NeverSent{Reason: "no host opened a connection to the worker", NoPath: true}
}

// workerFailure returns the result of an attempt whose worker a peer could not connect to, or whose caller
// left; nil if the peer itself opened no tunnel.
func workerFailure(ctx context.Context, peer ident.Host, err error) outcome.Attempt {
	switch {
	case errors.Is(err, peers.ErrWorkerRefused), errors.Is(err, peers.ErrWorkerTimedOut):
		return outcome.NeverSent{
			Reason:          "through " + string(peer) + ": " + err.Error(),
			ConnectRefused:  errors.Is(err, peers.ErrWorkerRefused),
			ConnectTimedOut: errors.Is(err, peers.ErrWorkerTimedOut),
		}
	case ctx.Err() != nil:
		return outcome.NeverSent{Reason: err.Error()}
	}
	return nil
}

// tunneledConn returns the connection to the attempt's worker through a tunnel.
func (x *exchange) tunneledConn(t *peers.Tunnel) *workerConn {
	conn := newWorkerConn(t, x.dispatch.Worker)
	conn.tunneled, conn.openedAt = true, x.server.now()
	return conn
}

func closeTunnel(t *peers.Tunnel) {
	if t != nil {
		_ = t.Close()
	}
}

// localAddress returns this host's end of the connection; empty if there is none.
func (x *exchange) localAddress() string {
	if x.conn == nil {
		return ""
	}
	return x.conn.LocalAddr().String()
}

func (x *exchange) openTunnel(ctx context.Context, peer ident.Host) (*peers.Tunnel, error) {
	if x.server.tunnels == nil {
		return nil, peers.ErrUnavailable
	}
	return x.server.tunnels.OpenTunnel(ctx, peer, x.dispatch.Worker) //nolint:wrapcheck // The caller compares it.
}
