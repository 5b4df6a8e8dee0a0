//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// node names a host or a worker by the last number of its address.
type node int

// link is one direction between two nodes.
type link struct{ from, to node }

// network are the faults on links between nodes, which proxies put into effect.
type network struct {
	mu   sync.Mutex
	held map[link]bool
	// refused links reset new connections.
	refused map[link]bool
	delay   map[link]time.Duration
	conns   map[net.Conn]link
}

func newNetwork() *network {
	return &network{held: map[link]bool{}, refused: map[link]bool{}, delay: map[link]time.Duration{}, conns: map[net.Conn]link{}}
}

// hold stops or lets go all bytes of a link. Bytes are kept meanwhile, as a
// sender's system keeps them while a link is cut.
func (n *network) hold(l link, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[l] = on
}

// refuse has new connections of a link reset, or not any more.
func (n *network) refuse(l link, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[l] = on
}

func (n *network) refuses(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[l]
}

// resetLink breaks the connections of a link.
func (n *network) resetLink(of link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, l := range n.conns {
		if l == of {
			resetConn(c)
		}
	}
}

func (n *network) slow(l link, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[l] = d
}

// heal ends all faults.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held, n.refused, n.delay = map[link]bool{}, map[link]bool{}, map[link]time.Duration{}
}

// reset breaks the connections of a node.
func (n *network) reset(of node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, l := range n.conns {
		if l.from == of || l.to == of {
			resetConn(c)
		}
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (n *network) state(l link) (held bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[l], n.delay[l]
}

func (n *network) track(c net.Conn, l link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = l
}

func (n *network) forget(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// proxy takes connections at an address for a node that listens at another.
type proxy struct {
	network  *network
	to       node
	target   string
	listener net.Listener
}

func startProxy(t *testing.T, n *network, to node, listen, target string) *proxy {
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	p := &proxy{network: n, to: to, target: target, listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// nodeOf reads a node from the address it dials from.
func nodeOf(a net.Addr) node {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return 0
	}
	ip := tcp.IP.To4()
	return node(ip[len(ip)-1])
}

func (p *proxy) serve(in net.Conn) {
	from := nodeOf(in.RemoteAddr())
	if p.network.refuses(link{from, p.to}) {
		resetConn(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(in)
		return
	}
	p.network.track(in, link{from, p.to})
	p.network.track(out, link{from, p.to})
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, link{from, p.to}) })
	both.Go(func() { p.copy(in, out, link{p.to, from}) })
	both.Wait()
	p.network.forget(in)
	p.network.forget(out)
}

const (
	chunkBytes = 16 << 10
	holdPoll   = 10 * time.Millisecond
)

// copy passes bytes on in one direction, under the link's faults, and the end.
func (p *proxy) copy(to, from net.Conn, l link) {
	buffer := make([]byte, chunkBytes)
	for {
		read, err := from.Read(buffer)
		held, delay := p.network.state(l)
		time.Sleep(delay)
		for ; held; held, _ = p.network.state(l) {
			time.Sleep(holdPoll)
		}
		if read > 0 {
			if _, failed := to.Write(buffer[:read]); failed != nil {
				resetConn(from)
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			// An answer that ends with its connection is whole only if that was closed in order.
			resetConn(to)
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
