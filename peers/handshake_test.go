// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/peers"
)

// TestReplicasBypassHandshakeLimit guards against replicas that wait for a handshake slot while
// other hosts' connections, here silent ones, occupy all of them.
func TestReplicasBypassHandshakeLimit(t *testing.T) {
	replica := netip.MustParseAddr("127.0.0.2")
	o := options("b")
	o.SkipHandshakeLimit = func(ip netip.Addr) bool { return ip == replica }
	o.HandshakeSlotTimeout = time.Hour
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan ident.Host, 1024)
	server := peers.NewServer(o, func(from ident.Host, _ host.Message) { received <- from })
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
	address := ident.Host(l.Addr().String())
	const callers = 12
	silent := make([]net.Conn, 0, callers)
	for range callers {
		conn, err := net.Dial("tcp", string(address))
		require.NoError(t, err)
		silent = append(silent, conn)
	}

	other := peers.NewPool(options("other"))
	defer other.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				other.Send(address, host.Poll{Version: 1})
			}
		}
	}()
	first := options("replica")
	first.From = &net.TCPAddr{IP: replica.AsSlice()}
	pool := peers.NewPool(first)
	defer pool.Close()
	pool.Send(address, host.Poll{Version: 2})
	require.EqualValues(t, "replica", <-received, "all handshake slots are taken and more hosts wait")
	for _, conn := range silent {
		require.NoError(t, conn.Close())
	}
	require.EqualValues(t, "other", <-received)
}
