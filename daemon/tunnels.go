// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"sync"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/peers"
)

// A host connects other hosts to workers only while it has contact itself, so that no request goes
// round among hosts, and while it has room: its own callers come first. It refuses new tunnels once a
// planned stop no longer admits requests, and finishes the open ones.

// maxTunnels bounds the tunnels of a host; each takes two descriptors and two buffers of 32 KiB.
const maxTunnels = 128

// dialForPeer connects to a registered worker for another host.
func (d *Daemon) dialForPeer(ctx context.Context, id ident.Target, address string) (net.Conn, error) {
	state := d.loop.State().Requests()
	w, known := state.Worker(id)
	isWorker := known && w.Address == address && w.State != registry.Gone
	if d.workers == nil || !isWorker || !state.OpensTunnels() || d.loop.pace.short() {
		return nil, peers.ErrUnavailable
	}
	if d.tunnels.Add(1) > maxTunnels {
		d.tunnels.Add(-1)
		return nil, peers.ErrUnavailable
	}
	conn, err := d.workers.Dial(ctx, address)
	d.loop.Decide(requests.ProbeEnded{Worker: id, OK: err == nil, Refused: gateway.IsConnRefused(err), TimedOut: gateway.IsTimeout(err)})
	if err != nil {
		d.tunnels.Add(-1)
		return nil, err //nolint:wrapcheck // The peer is sent what kind of error it is.
	}
	return &tunnelConn{Conn: conn, closed: func() { d.tunnels.Add(-1) }}, nil
}

// tunnelConn is a connection to a worker for another host.
type tunnelConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *tunnelConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close() //nolint:wrapcheck // The caller sees the error of the connection.
}
