// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package peers transports messages between the hosts of a fleet over net/rpc. Messages may be
// lost, duplicated or reordered; the core tolerates that.
//
// # Usage
//
//	srv := peers.NewServer(options, func(from ident.Host, m host.Message) { ... })
//	go srv.Serve(listener)
//	pool := peers.NewPool(options)
//	pool.SetAddresses(hosts)
//	pool.Send("entry-2", message)
//
// Each connection starts with a Hello that authenticates the caller by the fleet's name and key.
// With TLS, both ends also verify certificates.
package peers

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/dialing"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// callTimeout bounds a write and the wait for a call in flight.
	callTimeout = 2 * time.Second
	dialTimeout = 600 * time.Millisecond
	// idleTimeout closes a connection without messages, helloTimeout one without a Hello.
	idleTimeout  = time.Minute
	helloTimeout = 5 * time.Second
	// maxHandshakes bounds the concurrent handshakes in each direction. One costs both ends 0.35 ms;
	// on a tenth of a core hundreds at once would starve the replicated log for seconds.
	maxHandshakes = 4
	// callsPerProcessor bounds the calls that are decoded and delivered at the same time, for each
	// processor. Calls beyond it wait without using the processor, so that those of exempt hosts and
	// the process's own work do not queue behind hundreds of polls.
	callsPerProcessor = 2
	// workTimeout is how long a call counts as being decoded and delivered, at most.
	workTimeout = 100 * time.Millisecond
	// defaultHandshakeSlotTimeout frees the slots of handshakes that hang.
	defaultHandshakeSlotTimeout = 100 * time.Millisecond
)

// remoteIP returns the address of the other end, or the zero address if it has none.
func remoteIP(conn net.Conn) netip.Addr {
	a, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}

var registerOnce sync.Once

// Server receives messages from other hosts.
type Server struct {
	options Options
	deliver func(ident.Host, host.Message)
	mu      sync.Mutex
	// conns are the open connections; the value is set for those that are tunnels.
	conns  map[net.Conn]bool
	closed bool
	// handshakes limits the connections that have not delivered a batch yet.
	handshakes *gate.Gate
	// work limits the calls of hosts that are decoded and delivered at the same time.
	work   *gate.Gate
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that calls deliver for each message, from several goroutines.
func NewServer(o Options, deliver func(ident.Host, host.Message)) *Server {
	registerOnce.Do(registerTypes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		options: o.withDefaults(), deliver: deliver, conns: map[net.Conn]bool{},
		handshakes: gate.New(maxHandshakes), work: gate.New(callsPerProcessor * runtime.GOMAXPROCS(0)), ctx: ctx, cancel: cancel,
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if s.options.TLS != nil {
		l = tls.NewListener(l, s.options.TLS)
	}
	for {
		conn, err := sockets.Accept(l)
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		if !s.track(conn) {
			return nil
		}
		go s.serveConn(conn)
	}
}

// track registers a connection to be closed by Close. If the server is closed already, it closes
// the connection and returns false.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = false
	return true
}

// markTunnel records that a connection is a tunnel. It returns false if the server is closed.
func (s *Server) markTunnel(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = true
	}
	return !s.closed
}

// Close closes all connections. It resets tunnels, as their answers are not complete. The listener is
// closed by its owner.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.closed = true
	for c, isTunnel := range s.conns {
		if isTunnel {
			resetConn(c)
			continue
		}
		_ = c.Close()
	}
}

// serveConn serves the calls of one connection, or a tunnel. It holds a handshake slot until the first batch is
// delivered, HandshakeSlotTimeout has passed or the connection ends. It closes the connection if no
// Hello arrives within helloTimeout.
func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	// A host whose connection has waited for longer has given up or is about to, so its handshake
	// would be wasted.
	wait, cancel := context.WithTimeout(s.ctx, dialing.MaxHandshakeWait)
	defer cancel()
	slot, ok := s.options.acquireHandshakeSlot(s.handshakes, remoteIP(conn), wait.Done())
	if !ok {
		s.options.Counters.Shed.Add(1)
		return
	}
	defer slot.Leave()
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	in := bufio.NewReaderSize(conn, len(tunnelMethod))
	if first, _ := in.Peek(len(tunnelMethod)); string(first) == tunnelMethod {
		slot.Leave()
		s.serveTunnel(conn, in)
		return
	}
	s.serveCalls(&peekedConn{Conn: conn, in: in}, slot)
}

// tunnelMethod begins a connection that is a tunnel. bufio's smallest buffer holds it.
const tunnelMethod = http.MethodConnect + " "

// peekedConn is a connection of which bytes have been read ahead.
type peekedConn struct {
	net.Conn
	in *bufio.Reader
}

// Read implements io.Reader.
func (c *peekedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// serveCalls serves the calls of one connection.
func (s *Server) serveCalls(conn net.Conn, slot *gate.Pass) {
	r := rpc.NewServer()
	service := &Service{server: s, conn: conn, slot: slot}
	if err := r.RegisterName(serviceName, service); err != nil {
		panic(err)
	}
	counted := &countedConn{Conn: conn, counters: s.options.Counters, renewIdle: &service.authenticated}
	codec := newGobCodec(counted, s.options.MaxMessage)
	if !s.options.isExempt(remoteIP(conn)) {
		codec.work, codec.closed = s.work, s.ctx.Done()
	}
	r.ServeCodec(codec)
	if service.authenticated.Load() && !service.used.Load() {
		s.options.Counters.Unused.Add(1)
	}
}
