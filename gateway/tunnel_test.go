// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/peers"
	"github.com/yardhall/yardhall/standin"
)

// viaCore sends each attempt through other hosts.
type viaCore struct {
	*fakeCore
	via []ident.Host
}

// Decide implements gateway.Core.
func (c viaCore) Decide(ev requests.Event) []requests.Decision {
	out := c.fakeCore.Decide(ev)
	for i, d := range out {
		if sent, ok := d.(requests.Dispatch); ok {
			sent.Path = requests.Path{Via: c.via}
			out[i] = sent
		}
	}
	return out
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startEarlierCarrier starts a host of an earlier version, whose tunnels are not framed.
func startEarlierCarrier(t *testing.T) string {
	l := listenLocal(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go carryPlainly(conn)
		}
	}()
	return l.Addr().String()
}

func carryPlainly(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	worker, err := net.Dial("tcp", r.Host) //nolint:noctx // The worker stops with the test.
	if err != nil {
		return
	}
	defer func() { _ = worker.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 Connection established\r\n\r\n")
	go func() { _, _ = io.Copy(worker, in) }()
	_, _ = io.Copy(conn, worker)
}

func startCarrier(t *testing.T) string {
	l := listenLocal(t)
	server := peers.NewServer(peers.Options{Self: "b", Fleet: "f", Key: "k", DialWorker: func(ctx context.Context, _ ident.Target, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}, func(ident.Host, host.Message) {})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// sendingVia makes the host send each attempt through other hosts: "earlier" is of an earlier version,
// "current" of this one.
func (b *testbed) sendingVia(via ...ident.Host) {
	pool := peers.NewPool(peers.Options{Self: "a", Fleet: "f", Key: "k"})
	b.t.Cleanup(pool.Close)
	pool.SetAddresses([]config.Host{{ID: "earlier", Address: startEarlierCarrier(b.t)}, {ID: "current", Address: startCarrier(b.t)}})
	server := httptest.NewServer(gateway.NewServer(gateway.Deps{
		Core: viaCore{b.core, via}, Pool: b.pool, Headers: names, Tunnels: pool,
	}))
	b.t.Cleanup(server.Close)
	b.url = server.URL
}

// TestStreamsWithoutLengthThroughHostsOfTwoVersions guards against a stream that looks whole where its
// tunnel does not tell its end from a loss, and against using such a tunnel while another host opens a
// framed one.
func TestStreamsWithoutLengthThroughHostsOfTwoVersions(t *testing.T) {
	for name, c := range map[string]struct {
		via   []ident.Host
		whole bool
	}{
		"current":         {[]ident.Host{"current"}, true},
		"earlier first":   {[]ident.Host{"earlier", "current"}, true},
		"current first":   {[]ident.Host{"current", "earlier"}, true},
		"unknown between": {[]ident.Host{"earlier", "unknown", "current"}, true},
		"earlier alone":   {[]ident.Host{"earlier"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.sendingVia(c.via...)
			b.next(standin.UnframedStream)
			_, text, _, err := b.call("/stream/once/x", "")
			require.Equal(t, 1, b.runs())
			if !c.whole {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, completeStream(), text)
		})
	}
}

// TestFramedAnswersAreWholeThroughHostOfEarlierVersion guards against failing answers that have a length, or
// chunks, since their tunnel is not framed.
func TestFramedAnswersAreWholeThroughHostOfEarlierVersion(t *testing.T) {
	b := newTestbed(t, 1)
	b.sendingVia("earlier")
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x"} {
		status, _, _, err := b.call(path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, path)
	}
	require.Equal(t, 3, b.runs())
}
