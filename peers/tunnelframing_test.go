// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/peers"
)

const (
	firstHalf  = "the first half, "
	secondHalf = "the second half"
)

// startHalvedEndpoint starts a worker whose answer has no length. It sends the second half and closes once
// release is closed.
func startHalvedEndpoint(t *testing.T, release <-chan struct{}) registry.Worker {
	return startEndpoint(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, len(hello)))
		_, _ = io.WriteString(c, firstHalf)
		<-release
		_, _ = io.WriteString(c, secondHalf)
		_ = c.Close()
	})
}

const hello = "hello"

// startRelay starts a relay in front of address that closes both its connections in order once cut is
// closed, as the operating system does for a killed process. It returns the relay's address.
func startRelay(t *testing.T, address string, cut <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address) //nolint:noctx // The test ends it.
			if err != nil {
				_ = in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in) }()
			go func() { _, _ = io.Copy(in, out) }()
			go func() {
				<-cut
				_, _ = in.Close(), out.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// startCarrier starts a host "b" that carries tunnels.
func startCarrier(t *testing.T) (server *peers.Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server = peers.NewServer(peers.Options{Self: "b", Fleet: "f", Key: fleetKey, MaxMessage: 1 << 20, DialWorker: dialDirectly}, func(ident.Host, host.Message) {})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
	return server, l.Addr().String()
}

// openTunnel opens a tunnel through the host at an address and sends a request over it.
func openTunnel(t *testing.T, address string, w registry.Worker) *peers.Tunnel {
	t.Helper()
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: fleetKey, MaxMessage: 1 << 20})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "b", Address: address}})
	conn, err := pool.OpenTunnel(t.Context(), "b", w)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, hello)
	require.NoError(t, err)
	return conn
}

// TestLostCarrierIsNoEndOfTheAnswer guards against taking the end of a tunnel whose host was killed, cut
// off or stopped before the worker had finished for the end of an answer without a length.
func TestLostCarrierIsNoEndOfTheAnswer(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(t *testing.T, w registry.Worker) (conn net.Conn, lose func()){
		"killed": func(t *testing.T, w registry.Worker) (net.Conn, func()) {
			_, address := startCarrier(t)
			cut := make(chan struct{})
			return openTunnel(t, startRelay(t, address, cut), w), func() { close(cut) }
		},
		"stopped": func(t *testing.T, w registry.Worker) (net.Conn, func()) {
			server, address := startCarrier(t)
			return openTunnel(t, address, w), server.Close
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			conn, loseCarrier := lose(t, startHalvedEndpoint(t, release))
			_, err := io.ReadFull(conn, make([]byte, len(firstHalf)))
			require.NoError(t, err)
			loseCarrier()
			rest, err := io.ReadAll(conn)
			require.Error(t, err)
			require.Empty(t, rest)
		})
	}
}

// TestAnswerWithoutLengthStaysWholeThroughTunnel guards against taking the end of a worker's connection for
// a loss.
func TestAnswerWithoutLengthStaysWholeThroughTunnel(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	_, address := startCarrier(t)
	conn := openTunnel(t, address, startHalvedEndpoint(t, release))
	require.True(t, conn.Framed())
	close(release)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, firstHalf+secondHalf, string(answer))
}

// TestEndOfUnframedTunnelIsNoEndOfTheAnswer guards against trusting the end of a tunnel through a host of an
// earlier version, which does not say whether the worker has closed its connection.
func TestEndOfUnframedTunnelIsNoEndOfTheAnswer(t *testing.T) {
	t.Parallel()
	earlier := startEndpoint(t, func(c *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 Connection established\r\n\r\n"+firstHalf)
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	})
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: fleetKey})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "earlier", Address: earlier.Address}})
	conn, err := pool.OpenTunnel(t.Context(), "earlier", registry.Worker{ID: "w", Address: "127.0.0.1:1"})
	if err != nil {
		// Bytes that arrive together with the reply are refused.
		require.ErrorIs(t, err, peers.ErrUnavailable)
		return
	}
	require.False(t, conn.Framed())
	answer, err := io.ReadAll(conn)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, firstHalf, string(answer))
}

// TestHostOfEarlierVersionGetsPlainTunnel guards against sending chunks to a host that does not read them,
// and against an orderly end of its tunnel when this host stops, which it would take for the end of the
// answer.
func TestHostOfEarlierVersionGetsPlainTunnel(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server, address := startCarrier(t)
	w := startHalvedEndpoint(t, release)
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "CONNECT "+w.Address+" HTTP/1.1\r\nHost: "+w.Address+"\r\nYardhall-Fleet: f\r\nYardhall-Worker: w\r\n"+
		"Proxy-Authorization: Bearer "+fleetKey+"\r\n\r\n")
	require.NoError(t, err)
	const reply = "HTTP/1.1 200 Connection established\r\n\r\n"
	got := make([]byte, len(reply))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, reply, string(got))
	_, err = io.WriteString(conn, hello)
	require.NoError(t, err)
	got = make([]byte, len(firstHalf))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, firstHalf, string(got))
	server.Close()
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}

// TestLostCarrierLeavesTheRequestIncomplete guards against a worker that takes the part of a request that it
// has for all of it when the host that carries the request is lost.
func TestLostCarrierLeavesTheRequestIncomplete(t *testing.T) {
	t.Parallel()
	read := make(chan error, 1)
	w := startEndpoint(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		read <- err
		_ = c.Close()
	})
	server, address := startCarrier(t)
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: fleetKey, MaxMessage: 1 << 20})
	t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "b", Address: address}})
	conn, err := pool.OpenTunnel(t.Context(), "b", w)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	server.Close()
	require.Error(t, <-read)
	_, err = io.ReadAll(conn)
	require.Error(t, err)
}
