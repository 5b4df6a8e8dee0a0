// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/peers"
)

const fleetKey = "one long random key for the fleet"

// startTunnelHost starts a host "b" that connects others to workers by dial, and returns a pool of host
// "a".
func startTunnelHost(t *testing.T, dial func(context.Context, ident.Target, string) (net.Conn, error), key string) *peers.Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peers.NewServer(peers.Options{Self: "b", Fleet: "f", Key: fleetKey, MaxMessage: 1 << 20, DialWorker: dial}, func(ident.Host, host.Message) {})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: key, MaxMessage: 1 << 20})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "b", Address: l.Addr().String()}})
	return pool
}

func dialDirectly(ctx context.Context, _ ident.Target, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: 200 * time.Millisecond}).DialContext(ctx, "tcp", address)
}

// startEndpoint starts a worker that handles each connection by serve.
func startEndpoint(t *testing.T, serve func(*net.TCPConn)) registry.Worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return registry.Worker{ID: "w", Address: l.Addr().String()}
}

// TestTunnelCarriesBytesBothWays guards against lost bytes and against an end that is not passed on.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	t.Parallel()
	answer := make([]byte, 3<<20)
	for i := range answer {
		answer[i] = byte(i * 7)
	}
	w := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 5))
		_, _ = c.Write(answer)
		_ = c.Close()
	})
	pool := startTunnelHost(t, dialDirectly, fleetKey)
	conn, err := pool.OpenTunnel(t.Context(), "b", w)
	require.NoError(t, err)
	_, err = conn.Write([]byte("hello"))
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, answer, got)
}

// TestTunnelPassesResetsOn guards against an answer without a length that looks whole although its
// worker reset the connection.
func TestTunnelPassesResetsOn(t *testing.T) {
	t.Parallel()
	w := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 5))
		_, _ = c.Write([]byte("half an answer"))
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	pool := startTunnelHost(t, dialDirectly, fleetKey)
	conn, err := pool.OpenTunnel(t.Context(), "b", w)
	require.NoError(t, err)
	_, err = conn.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}

// TestClosedTunnelClosesTheConnectionToTheWorker guards against work that goes on for a caller that has
// left.
func TestClosedTunnelClosesTheConnectionToTheWorker(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	w := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	pool := startTunnelHost(t, dialDirectly, fleetKey)
	conn, err := pool.OpenTunnel(t.Context(), "b", w)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the worker is still open")
	}
}

// TestTunnelErrorsTellPeersFromWorkers guards against ejecting a worker for its peer, and against
// opening tunnels for hosts of other fleets.
func TestTunnelErrorsTellPeersFromWorkers(t *testing.T) {
	t.Parallel()
	w := startEndpoint(t, func(c *net.TCPConn) { _ = c.Close() })
	gone := registry.Worker{ID: "gone", Address: "127.0.0.1:1"}
	refuses := func(context.Context, ident.Target, string) (net.Conn, error) { return nil, peers.ErrUnavailable }
	hangs := func(ctx context.Context, _ ident.Target, _ string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	for name, c := range map[string]struct {
		pool   *peers.Pool
		worker registry.Worker
		want   error
	}{
		"worker refuses":      {startTunnelHost(t, dialDirectly, fleetKey), gone, peers.ErrWorkerRefused},
		"worker hangs":        {startTunnelHost(t, hangs, fleetKey), w, peers.ErrWorkerTimedOut},
		"peer has no contact": {startTunnelHost(t, refuses, fleetKey), w, peers.ErrUnavailable},
		"peer opens none":     {startTunnelHost(t, nil, fleetKey), w, peers.ErrUnavailable},
		"another key":         {startTunnelHost(t, dialDirectly, "another key"), w, peers.ErrUnavailable},
	} {
		_, err := c.pool.OpenTunnel(t.Context(), "b", c.worker)
		require.ErrorIs(t, err, c.want, name)
	}
	_, err := startTunnelHost(t, dialDirectly, fleetKey).OpenTunnel(t.Context(), "unknown", w)
	require.ErrorIs(t, err, peers.ErrUnavailable)
}

// TestTunnelThroughEarlierVersionFailsAtOnce guards against waiting for a peer that reads the request
// for a tunnel as a message of its own protocol and closes the connection.
func TestTunnelThroughEarlierVersionFailsAtOnce(t *testing.T) {
	t.Parallel()
	var opened atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			_, _ = conn.Read(make([]byte, 68))
			_ = conn.Close()
		}
	}()
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: fleetKey})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "old", Address: l.Addr().String()}})
	begun := time.Now()
	_, err = pool.OpenTunnel(t.Context(), "old", registry.Worker{ID: "w", Address: "127.0.0.1:1"})
	require.ErrorIs(t, err, peers.ErrUnavailable)
	require.Less(t, time.Since(begun), 200*time.Millisecond)
	require.EqualValues(t, 1, opened.Load())
}

// TestReplyWithoutEndIsNotReadOn guards against reading the reply of a peer without end while a tunnel is opened.
func TestReplyWithoutEndIsNotReadOn(t *testing.T) {
	t.Parallel()
	var sent atomic.Int64
	peer := startEndpoint(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, "HTTP/1.1 200 ")
		for filler := make([]byte, 32<<10); err == nil; {
			var n int
			n, err = c.Write(filler)
			sent.Add(int64(n))
		}
	})
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: fleetKey, MaxMessage: 1 << 20})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "b", Address: peer.Address}})
	began := time.Now()
	_, err := pool.OpenTunnel(t.Context(), "b", registry.Worker{ID: "w", Address: "127.0.0.1:1"})
	require.ErrorIs(t, err, peers.ErrUnavailable)
	require.Less(t, time.Since(began), 400*time.Millisecond, "the reply has 600 ms")
	require.Less(t, sent.Load(), int64(12<<20), "the buffers of a connection take some")
}
