// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/core/ident"
)

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
	if h.Fleet != o.Fleet || !o.isKey(h.Key) || s.authenticated.Load() {
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
