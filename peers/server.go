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
	"cmp"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/dialing"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Options configure a Server and a Pool.
type Options struct {
	Self  ident.Host
	Fleet string
	// Key is the shared secret of the fleet.
	Key string
	// MaxMessage bounds one received call or reply, in bytes.
	MaxMessage int64
	// From is the local address to dial from; nil lets the system choose.
	From *net.TCPAddr
	// TLS encrypts connections; nil means no encryption.
	TLS *tls.Config
	// Counters count the traffic; nil is replaced by new ones.
	Counters *Counters
	// Incarnation is the incarnation of this process, which increases with each start.
	Incarnation uint64
	// PeerIncarnations holds the incarnations of other hosts. A Server updates it and a Pool
	// uses it, so both need the same one; nil is replaced by a new one.
	PeerIncarnations *IncarnationTracker
	// SkipHandshakeLimit, if not nil, reports whether connections with an address are exempt
	// from the limit of concurrent handshakes, such as those between replicas. Nil exempts all.
	SkipHandshakeLimit func(netip.Addr) bool
	// HandshakeSlotTimeout is how long a handshake counts towards the limit; 0 means
	// defaultHandshakeSlotTimeout.
	HandshakeSlotTimeout time.Duration
	// OnReplace, if not nil, is called when a connection to a host is closed to open another one.
	OnReplace func(to ident.Host, cause ReplaceCause, age time.Duration)
	// OnUnreachable, if not nil, is called when connections to a host begin to fail with err, and
	// when one succeeds after a number of failures, with a nil err.
	OnUnreachable func(to ident.Host, err error, failures int)
	// Blocked, if not nil, reports whether messages from and to a host must fail. Tests
	// simulate network partitions with it.
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
	// Dialed counts the connections opened to other hosts; Connected is the number of those
	// that are open.
	Dialed atomic.Int64
	// DialsFailed counts the attempts to open one that failed, with the hello, and HellosTimedOut
	// those of them that had no reply to the hello.
	DialsFailed    atomic.Int64
	HellosTimedOut atomic.Int64
	// ReplacedUnanswered counts the connections closed because calls were unanswered,
	// ReplacedClosed those that the other end closed, and ReplacedRestarted those to an earlier
	// incarnation.
	ReplacedUnanswered atomic.Int64
	ReplacedClosed     atomic.Int64
	ReplacedRestarted  atomic.Int64
	// Accepted counts the connections that hosts opened to this one and AcceptedFirst those of them
	// that were exempt from the limit of concurrent handshakes, such as other replicas'.
	Accepted      atomic.Int64
	AcceptedFirst atomic.Int64
	// Unused counts the accepted connections that ended before they had brought a message.
	Unused atomic.Int64
	// Shed counts the connections closed because they had waited too long for their handshake.
	Shed atomic.Int64
	// Polls and PollReplies count the received messages of these kinds.
	Polls       atomic.Int64
	PollReplies atomic.Int64
}

// countReceived counts a received message.
func (c *Counters) countReceived(m host.Message) {
	c.Received.Add(1)
	switch m.(type) {
	case host.Poll:
		c.Polls.Add(1)
	case host.PollReply:
		c.PollReplies.Add(1)
	}
}

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

func (o Options) withDefaults() Options {
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	o.HandshakeSlotTimeout = cmp.Or(o.HandshakeSlotTimeout, defaultHandshakeSlotTimeout)
	if o.PeerIncarnations == nil {
		o.PeerIncarnations = &IncarnationTracker{}
	}
	return o
}

// acquireHandshakeSlot waits for a handshake slot until done is closed; ok is false if it was. For
// exempt addresses it returns a nil slot at once.
func (o Options) acquireHandshakeSlot(g *gate.Gate, ip netip.Addr, done <-chan struct{}) (slot *gate.Pass, ok bool) {
	if o.isExempt(ip) {
		return nil, true
	}
	slot, ok = g.Enter(done)
	slot.EndAfter(o.HandshakeSlotTimeout)
	return slot, ok
}

// isExempt reports whether connections with an address are exempt from limits.
func (o Options) isExempt(ip netip.Addr) bool {
	return o.SkipHandshakeLimit == nil || o.SkipHandshakeLimit(ip)
}

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
	conns   map[net.Conn]bool
	closed  bool
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
	s.conns[conn] = true
	return true
}

// Close closes all connections. The listener is closed by its owner.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// serveConn serves the calls of one connection. It holds a handshake slot until the first batch is
// delivered, HandshakeSlotTimeout has passed or the connection ends. It closes the connection if no
// Hello arrives within helloTimeout.
func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	r := rpc.NewServer()
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
	service := &Service{server: s, conn: conn, slot: slot}
	if err := r.RegisterName(serviceName, service); err != nil {
		panic(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
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

const serviceName = "F"

// Service is the RPC service of one connection.
type Service struct {
	server *Server
	conn   net.Conn
	// authenticated is set by a successful Hello, after from.
	authenticated atomic.Bool
	from          ident.Host
	// used is set once a batch has arrived.
	used atomic.Bool
	slot *gate.Pass
}

// Hello authenticates the caller. It must be the first call of a connection, and the only Hello.
func (s *Service) Hello(h Hello, a *Ack) error {
	o := s.server.options
	sameKey := subtle.ConstantTimeCompare([]byte(h.Key), []byte(o.Key)) == 1
	if h.Fleet != o.Fleet || !sameKey || s.authenticated.Load() {
		o.Counters.Refused.Add(1)
		_ = s.conn.Close()
		return errors.New("refused")
	}
	s.from = h.From
	s.authenticated.Store(true)
	o.Counters.Accepted.Add(1)
	if s.slot == nil {
		o.Counters.AcceptedFirst.Add(1)
	}
	o.PeerIncarnations.advance(h.From, h.Boot)
	a.Taken, a.Boot = 1, o.Incarnation
	return nil
}

// D delivers a batch of messages. Its name is short because it is sent with each call.
func (s *Service) D(b Batch, a *Ack) error {
	if !s.authenticated.Load() {
		s.server.options.Counters.Refused.Add(1)
		_ = s.conn.Close()
		return errors.New("hello is missing")
	}
	if blocked := s.server.options.Blocked; blocked != nil && blocked(s.from) {
		_ = s.conn.Close()
		return errors.New("unreachable")
	}
	for _, m := range b.Messages {
		if m == nil {
			continue
		}
		s.server.options.Counters.countReceived(m)
		s.server.deliver(s.from, m)
	}
	s.used.Store(true)
	a.Taken = len(b.Messages)
	s.slot.Leave()
	return nil
}

// countedConn counts bytes, bounds each write by callTimeout and, while renewIdle is set, each
// read by idleTimeout.
type countedConn struct {
	net.Conn
	counters  *Counters
	renewIdle *atomic.Bool
	// readFailed is set once a read failed, usually because the other end closed the connection.
	readFailed atomic.Bool
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.renewIdle != nil && c.renewIdle.Load() {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	n, err := c.Conn.Read(p)
	c.counters.BytesIn.Add(int64(n))
	if err != nil {
		c.readFailed.Store(true)
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
