// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package peers carries messages between the hosts of a fleet over net/rpc.
// It promises nothing: messages may be lost, doubled or reordered; the core
// allows for that.
//
// # Usage
//
//	srv := peers.NewServer(options, func(from ident.Host, m host.Message) { ... })
//	go srv.Serve(listener)
//	pool := peers.NewPool(options)
//	pool.SetAddresses(hosts)
//	pool.Send("entry-2", message)
//
// Each connection opens with a Hello that must name the fleet and its key;
// with TLS, certificates are checked both ways as well.
package peers

import (
	"cmp"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Options are what both sides of the transport need.
type Options struct {
	Self  ident.Host
	Fleet string
	Key   string
	// MaxMessage bounds the bytes of one call or answer.
	MaxMessage int64
	// From is the local address to dial from; nil leaves it to the system.
	From *net.TCPAddr
	// TLS is set where connections are encrypted.
	TLS *tls.Config
	// Counters count the traffic; a nil one is replaced.
	Counters *Counters
	// Boot is the start of this process; it grows from one to the next. Boots are
	// those of other hosts, which a server hears and a pool uses.
	Boot      uint64
	PeerBoots *BootTracker
	// SkipHandshakeLimit, where set, tells which addresses need not wait for others when they open
	// connections: on a replica, those of other replicas.
	SkipHandshakeLimit func(netip.Addr) bool
	// HandshakeSlotTimeout is how long a connection that is being opened may keep others
	// waiting; 0 is the default.
	HandshakeSlotTimeout time.Duration
	// Blocked, where set, tells which hosts must not be reached; tests cut
	// zones off with it.
	Blocked func(ident.Host) bool
}

// Counters count the traffic with other hosts.
type Counters struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	Sent      atomic.Int64
	Received  atomic.Int64
	Dropped   atomic.Int64
	Failed    atomic.Int64
	Refused   atomic.Int64
	Connected atomic.Int64
	// Dialed counts the connections that were opened to other hosts.
	Dialed atomic.Int64
}

const (
	// callTimeout bounds a write to a connection, dialTimeout the opening of one. Chosen,
	// not measured.
	callTimeout = 2 * time.Second
	dialTimeout = 600 * time.Millisecond
	// answerTimeout is how long a host may leave calls unanswered. Chosen, not measured.
	answerTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a connection may rest, helloTimeout how long it may take to
	// open with a Hello. Chosen, not measured.
	idleTimeout  = time.Minute
	helloTimeout = 5 * time.Second
	// handshakesAtOnce bounds the connections that are being opened with hosts that do
	// not go first, each way. One costs both ends 0.35 ms of processor
	// (BenchmarkConnect), and on a tenth of a core three hundred at once leave nothing to
	// the replicated log for seconds.
	handshakesAtOnce = 4
	// handshakeTime is how long one may count as that: some lead nowhere. Chosen, not
	// measured.
	handshakeTime = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	o.HandshakeSlotTimeout = cmp.Or(o.HandshakeSlotTimeout, handshakeTime)
	if o.PeerBoots == nil {
		o.PeerBoots = &BootTracker{}
	}
	return o
}

// enter waits for a pass to open a connection with a host, unless that goes first.
func (o Options) enter(g *gate.Gate, ip netip.Addr, done <-chan struct{}) (pass *gate.Pass, ok bool) {
	if o.SkipHandshakeLimit == nil || o.SkipHandshakeLimit(ip) {
		return nil, true
	}
	pass, ok = g.Enter(done)
	pass.EndAfter(o.HandshakeSlotTimeout)
	return pass, ok
}

// remoteIP is the address at the other end; the zero address where it has none.
func remoteIP(conn net.Conn) netip.Addr {
	a, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}

var registerOnce sync.Once

// Server takes messages from other hosts.
type Server struct {
	options Options
	deliver func(ident.Host, host.Message)
	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
	// handshakes are connections whose first messages have not come yet.
	handshakes *gate.Gate
	done       chan struct{}
}

// NewServer returns a server that hands every message to deliver.
func NewServer(o Options, deliver func(ident.Host, host.Message)) *Server {
	registerOnce.Do(registerTypes)
	return &Server{
		options: o.withDefaults(), deliver: deliver, conns: map[net.Conn]bool{},
		handshakes: gate.New(handshakesAtOnce), done: make(chan struct{}),
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

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		close(s.done)
	}
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	r := rpc.NewServer()
	pass, ok := s.options.enter(s.handshakes, remoteIP(conn), s.done)
	if !ok {
		return
	}
	defer pass.Leave()
	f := &Service{server: s, conn: conn, pass: pass}
	if err := r.RegisterName(serviceName, f); err != nil {
		panic(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	counted := &countedConn{Conn: conn, counters: s.options.Counters, idle: &f.known}
	r.ServeCodec(newGobCodec(counted, s.options.MaxMessage))
}

const serviceName = "F"

// Service is the RPC service of one connection.
type Service struct {
	server *Server
	conn   net.Conn
	known  atomic.Bool
	from   ident.Host
	pass   *gate.Pass
}

// Hello checks who calls. Nothing else is answered before.
func (f *Service) Hello(h Hello, a *Ack) error {
	o := f.server.options
	sameKey := subtle.ConstantTimeCompare([]byte(h.Key), []byte(o.Key)) == 1
	if h.Fleet != o.Fleet || !sameKey || f.known.Load() {
		o.Counters.Refused.Add(1)
		_ = f.conn.Close()
		return errors.New("refused")
	}
	f.from = h.From
	f.known.Store(true)
	o.PeerBoots.heard(h.From, h.Boot)
	a.Taken, a.Boot = 1, o.Boot
	return nil
}

// D delivers a batch of messages; the name stands in each call, so it is
// short.
func (f *Service) D(b Batch, a *Ack) error {
	if !f.known.Load() {
		f.server.options.Counters.Refused.Add(1)
		_ = f.conn.Close()
		return errors.New("hello is missing")
	}
	if blocked := f.server.options.Blocked; blocked != nil && blocked(f.from) {
		_ = f.conn.Close()
		return errors.New("unreachable")
	}
	for _, m := range b.Messages {
		if m == nil {
			continue
		}
		f.server.options.Counters.Received.Add(1)
		f.server.deliver(f.from, m)
	}
	a.Taken = len(b.Messages)
	f.pass.Leave()
	return nil
}

// countedConn counts bytes and, once the peer is known, renews the idle
// deadline at each read.
type countedConn struct {
	net.Conn
	counters *Counters
	idle     *atomic.Bool
	// ended is set once the other side has closed it.
	ended atomic.Bool
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.idle != nil && c.idle.Load() {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	n, err := c.Conn.Read(p)
	c.counters.BytesIn.Add(int64(n))
	if err != nil {
		c.ended.Store(true)
	}
	return n, err // io.Reader must return io.EOF itself.
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(callTimeout))
	n, err := c.Conn.Write(p)
	c.counters.BytesOut.Add(int64(n))
	return n, err // The codec adds the context.
}
