// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/config"
)

// httpServer is what a port needs of the server behind it.
type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// limitedServer serves callers within the limits of the route table: the length
// of a request's head, the time to send it, and how long a connection may rest.
// A change of the limits holds for connections opened after it. The zero value
// needs handler and limits.
type limitedServer struct {
	handler http.Handler
	// limits are those in force.
	limits func() config.Limits

	mu sync.Mutex
	// servers are one for each set of limits that was ever in force; the last
	// one takes new connections.
	servers  []*limited
	listener net.Listener
	closed   bool
}

// limited is the server of one set of limits.
type limited struct {
	limits config.Limits
	server *http.Server
	conns  *handedConns
}

// Serve accepts connections until Shutdown or Close, and returns
// http.ErrServerClosed then.
func (s *limitedServer) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := sockets.Accept(l)
		switch {
		case errors.Is(err, net.ErrClosed):
			return http.ErrServerClosed
		case err != nil:
			return errors.Wrap(err, "accept")
		}
		current, ok := s.current(l.Addr())
		if !ok || !current.conns.hand(conn) {
			_ = conn.Close()
		}
	}
}

// current returns the server of the limits in force; false once closed.
func (s *limitedServer) current(address net.Addr) (*limited, bool) {
	in := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, false
	}
	if last := len(s.servers) - 1; last >= 0 && s.servers[last].limits == in {
		return s.servers[last], true
	}
	next := &limited{
		limits: in, conns: &handedConns{address: address, conns: make(chan net.Conn), done: make(chan struct{})},
		server: &http.Server{
			Handler: s.handler, MaxHeaderBytes: in.MaxHeaderBytes,
			ReadHeaderTimeout: orDefault(in.HeaderTimeout, callerHeader), IdleTimeout: orDefault(in.IdleTimeout, callerIdle),
		},
	}
	s.servers = append(s.servers, next)
	go func() { _ = next.server.Serve(next.conns) }()
	return next, true
}

func orDefault(d config.Duration, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return time.Duration(d)
}

// each calls an action for the servers of all limits and returns the first
// error.
func (s *limitedServer) each(action func(*http.Server) error) error {
	s.mu.Lock()
	s.closed = true
	servers := s.servers
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	var first error
	for _, one := range servers {
		if err := action(one.server); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Shutdown takes no new connections and waits until the requests in flight have
// ended.
func (s *limitedServer) Shutdown(ctx context.Context) error {
	return s.each(func(one *http.Server) error { return one.Shutdown(ctx) })
}

// Close ends all connections.
func (s *limitedServer) Close() error { return s.each((*http.Server).Close) }

// handedConns is a listener whose connections were accepted elsewhere.
type handedConns struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// hand gives a connection to who accepts; false once closed.
func (h *handedConns) hand(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *handedConns) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedConns) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedConns) Addr() net.Addr { return h.address }
