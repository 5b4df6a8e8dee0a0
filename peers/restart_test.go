// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/peers"
)

// hostProcess simulates one incarnation of host b.
type hostProcess struct {
	listener net.Listener
	server   *peers.Server
	received atomic.Int32
}

func startProcess(t *testing.T, address string, incarnation uint64) *hostProcess {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	o := options("b")
	o.Incarnation = incarnation
	p := &hostProcess{listener: l}
	p.server = peers.NewServer(o, func(ident.Host, host.Message) { p.received.Add(1) })
	go func() { _ = p.server.Serve(l) }()
	t.Cleanup(p.end)
	return p
}

func (p *hostProcess) end() {
	_ = p.listener.Close()
	p.server.Close()
}

func (p *hostProcess) awaitMessage(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return p.received.Load() > 0 }, 30*time.Second, time.Millisecond)
}

// TestFirstMessageToARestartedHostArrives guards against a message that is lost on the connection
// to the previous process of a host: the core may assume for long that it is still on its way.
func TestFirstMessageToARestartedHostArrives(t *testing.T) {
	first := startProcess(t, "127.0.0.1:0", 1)
	address := first.listener.Addr().String()
	p := peers.NewPool(options("a"))
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	p.Send("b", beat)
	first.awaitMessage(t)
	first.end()
	second := startProcess(t, address, 2)
	// Allow the sender to notice that the old connection was closed.
	time.Sleep(200 * time.Millisecond)
	p.Send("b", beat)
	second.awaitMessage(t)
}

// TestConnectionToEarlierIncarnationIsReplaced guards against messages on a connection that was
// not closed, as after a power loss, although the host's next incarnation has connected.
func TestConnectionToEarlierIncarnationIsReplaced(t *testing.T) {
	first := startProcess(t, "127.0.0.1:0", 1)
	address := first.listener.Addr().String()
	o := options("a")
	o.PeerIncarnations = &peers.IncarnationTracker{}
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	p.Send("b", beat)
	first.awaitMessage(t)
	require.NoError(t, first.listener.Close())
	second := startProcess(t, address, 2)

	own, _ := serve(t, o)
	conn, err := rpc.Dial("tcp", own)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.Call("F.Hello", peers.Hello{From: "b", Fleet: o.Fleet, Key: o.Key, Boot: 2}, &peers.Ack{}))
	p.Send("b", beat)
	second.awaitMessage(t)
	require.EqualValues(t, 1, first.received.Load())
}

// TestClockSetBackKeepsConnection guards against a new connection for each message to a host whose
// clock was set back, so that its incarnation seems older than the one that connected before.
func TestClockSetBackKeepsConnection(t *testing.T) {
	o := options("a")
	o.PeerIncarnations = &peers.IncarnationTracker{}
	own, _ := serve(t, o)
	conn, err := rpc.Dial("tcp", own)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.Call("F.Hello", peers.Hello{From: "b", Fleet: o.Fleet, Key: o.Key, Boot: 9}, &peers.Ack{}))

	second := startProcess(t, "127.0.0.1:0", 2)
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: second.listener.Addr().String()}})
	for n := int32(1); n <= 5; n++ {
		p.Send("b", beat)
		require.Eventually(t, func() bool { return second.received.Load() >= n }, 30*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 1, o.Counters.Dialed.Load())
}
