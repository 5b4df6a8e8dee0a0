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

// process is one start of a host at an address.
type process struct {
	listener net.Listener
	server   *peers.Server
	taken    atomic.Int32
}

func startProcess(t *testing.T, address string, boot uint64) *process {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	o := options("b")
	o.Boot = boot
	p := &process{listener: l}
	p.server = peers.NewServer(o, func(ident.Host, host.Message) { p.taken.Add(1) })
	go func() { _ = p.server.Serve(l) }()
	t.Cleanup(p.end)
	return p
}

func (p *process) end() {
	_ = p.listener.Close()
	p.server.Close()
}

func (p *process) awaitsOne(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return p.taken.Load() > 0 }, 30*time.Second, time.Millisecond)
}

// TestFirstMessageToARestartedHostArrives ends a host's process and starts the next
// one: the first message after that must not be lost on the old connection, as what it
// holds may be taken to be under way for long.
func TestFirstMessageToARestartedHostArrives(t *testing.T) {
	first := startProcess(t, "127.0.0.1:0", 1)
	address := first.listener.Addr().String()
	p := peers.NewPool(options("a"))
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	p.Send("b", beat)
	first.awaitsOne(t)
	first.end()
	second := startProcess(t, address, 2)
	// The end of the old connection needs a moment to arrive.
	time.Sleep(200 * time.Millisecond)
	p.Send("b", beat)
	second.awaitsOne(t)
}

// TestConnectionToAnEarlierStartIsLeft leaves the old connection open, as a host does
// that loses its power, and has the next start of the host call.
func TestConnectionToAnEarlierStartIsLeft(t *testing.T) {
	first := startProcess(t, "127.0.0.1:0", 1)
	address := first.listener.Addr().String()
	o := options("a")
	o.PeerBoots = &peers.BootTracker{}
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	p.Send("b", beat)
	first.awaitsOne(t)
	require.NoError(t, first.listener.Close())
	second := startProcess(t, address, 2)

	own, _ := serve(t, o)
	conn, err := rpc.Dial("tcp", own)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.Call("F.Hello", peers.Hello{From: "b", Fleet: o.Fleet, Key: o.Key, Boot: 2}, &peers.Ack{}))
	p.Send("b", beat)
	second.awaitsOne(t)
	require.EqualValues(t, 1, first.taken.Load())
}

// TestClockSetBackKeepsItsConnection restarts a host whose clock was set back, so that
// its process seems to have started before the one that has called: the connection to it
// is kept, not opened anew for each message.
func TestClockSetBackKeepsItsConnection(t *testing.T) {
	o := options("a")
	o.PeerBoots = &peers.BootTracker{}
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
		require.Eventually(t, func() bool { return second.taken.Load() >= n }, 30*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 1, o.Counters.Dialed.Load())
}
