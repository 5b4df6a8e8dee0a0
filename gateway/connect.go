// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"context"
	"net"

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
	OpenTunnel(ctx context.Context, via ident.Host, w registry.Worker) (net.Conn, error)
}

// connect returns a connection to the attempt's worker by the path that the core chose: an open one, a
// new one, or a tunnel through the first peer that opens one. failure is NeverSent if there is none.
func (x *exchange) connect(ctx context.Context) (conn *workerConn, failure outcome.Attempt) {
	path, pool := x.dispatch.Path, x.server.pool
	if path.Open {
		if conn := pool.reuse(x.dispatch.Worker, x.server.now()); conn != nil {
			return conn, nil
		}
	}
	if path.Direct {
		conn, err := pool.dial(ctx, x.dispatch.Worker)
		if err != nil {
			return nil, outcome.NeverSent{Reason: err.Error(), ConnectTimedOut: IsTimeout(err) && ctx.Err() == nil, ConnectRefused: IsConnRefused(err)}
		}
		return conn, nil
	}
	return x.connectThroughPeer(ctx)
}

// connectThroughPeer opens a tunnel through the first of the path's peers that can, and reports those
// that cannot to the core.
func (x *exchange) connectThroughPeer(ctx context.Context) (*workerConn, outcome.Attempt) {
	for _, peer := range x.dispatch.Path.Via {
		conn, err := x.openTunnel(ctx, peer)
		switch {
		case err == nil:
			tunnel := newWorkerConn(conn, x.dispatch.Worker)
			tunnel.tunneled = true
			x.via = peer
			return tunnel, nil
		case errors.Is(err, peers.ErrWorkerRefused), errors.Is(err, peers.ErrWorkerTimedOut):
			return nil, outcome.NeverSent{
				Reason:          "through " + string(peer) + ": " + err.Error(),
				ConnectRefused:  errors.Is(err, peers.ErrWorkerRefused),
				ConnectTimedOut: errors.Is(err, peers.ErrWorkerTimedOut),
			}
		case ctx.Err() != nil:
			return nil, outcome.NeverSent{Reason: err.Error()}
		}
		x.server.core.Decide(requests.TunnelRefused{Peer: peer})
	}
	return nil, outcome.NeverSent{Reason: "no host opened a connection to the worker", NoPath: true}
}

// localAddress returns this host's end of the connection; empty if there is none.
func (x *exchange) localAddress() string {
	if x.conn == nil {
		return ""
	}
	return x.conn.LocalAddr().String()
}

func (x *exchange) openTunnel(ctx context.Context, peer ident.Host) (net.Conn, error) {
	if x.server.tunnels == nil {
		return nil, peers.ErrUnavailable
	}
	return x.server.tunnels.OpenTunnel(ctx, peer, x.dispatch.Worker) //nolint:wrapcheck // The caller compares it.
}
