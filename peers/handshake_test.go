// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/dialing"
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

// TestHandshakesThatWaitedAreShed guards against handshakes served for hosts that have given up: while
// others occupy all slots, a connection that has waited is closed, and its host returns later.
func TestHandshakesThatWaitedAreShed(t *testing.T) {
	o := options("b")
	o.SkipHandshakeLimit = func(netip.Addr) bool { return false }
	o.HandshakeSlotTimeout = time.Hour
	address, received := serve(t, o)
	const slots = 4
	occupying := make([]net.Conn, 0, slots)
	for range slots {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		occupying = append(occupying, conn)
		// Each must take its slot before the next connection arrives.
		time.Sleep(50 * time.Millisecond)
	}
	waiting, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, waiting.SetReadDeadline(time.Now().Add(dialing.HelloTimeout)))
	_, err = waiting.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, o.Counters.Shed.Load())

	p := peers.NewPool(options("a"))
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	p.Send("b", beat)
	require.Eventually(t, func() bool { return o.Counters.Shed.Load() == 2 }, 10*time.Second, time.Millisecond)
	require.Zero(t, o.Counters.Accepted.Load())
	for _, conn := range occupying {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool {
		p.Send("b", beat)
		return received.Load() > 0
	}, 30*time.Second, 20*time.Millisecond)
}

// TestSlowHostKeepsItsConnection guards against connections that are replaced because the host is slow:
// each replacement adds a handshake to its work.
func TestSlowHostKeepsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	delays := []time.Duration{400, 700, 1000, 1300, 1600}
	received := make(chan struct{}, len(delays))
	s := peers.NewServer(options("b"), func(_ ident.Host, m host.Message) {
		time.Sleep(delays[m.(host.Poll).Round] * time.Millisecond)
		received <- struct{}{}
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	o := options("a")
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: l.Addr().String()}})
	for round := range delays {
		p.Send("b", host.Poll{Round: uint64(round)})
		time.Sleep(1250 * time.Millisecond)
		// The sender judges the connection when it has something to send.
		if len(received) <= round {
			p.Send("b", host.Poll{})
			<-received
		}
		<-received
	}
	require.EqualValues(t, 1, o.Counters.Dialed.Load())
	require.Zero(t, o.Counters.ReplacedUnanswered.Load())
}

// TestCallsInProgressAreLimited guards against hundreds of polls that are decoded at the same time, so
// that the process's own work queues behind them.
func TestCallsInProgressAreLimited(t *testing.T) {
	const callers = 60
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := options("b")
	o.SkipHandshakeLimit = func(netip.Addr) bool { return false }
	var inProgress, most, received atomic.Int32
	s := peers.NewServer(o, func(ident.Host, host.Message) {
		n := inProgress.Add(1)
		defer inProgress.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		received.Add(1)
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	pools := make([]*peers.Pool, callers)
	for i := range pools {
		pools[i] = peers.NewPool(options("a"))
		defer pools[i].Close()
		pools[i].SetAddresses([]config.Host{{ID: "b", Address: l.Addr().String()}})
	}
	for round := int32(1); round <= 2; round++ {
		most.Store(0)
		for _, p := range pools {
			p.Send("b", beat)
		}
		require.Eventually(t, func() bool { return received.Load() == round*callers }, 30*time.Second, time.Millisecond)
	}
	require.LessOrEqual(t, int(most.Load()), 2*runtime.GOMAXPROCS(0))
}
