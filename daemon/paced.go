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
)

const (
	// pacedActive is how many new connections may be at work at once, and
	// pacedTime how long one counts as that, at most: one that says nothing must not
	// keep others out.
	pacedActive = 16
	pacedTime   = 150 * time.Millisecond
	// pacedOpen bounds the open connections.
	pacedOpen = 1024
	// pacedBacklog is how many connections may wait to be accepted: no more than
	// are answered before their callers give up.
	pacedBacklog = 256
)

// pacedServer serves workers and the operator. Thousands of workers may call in the
// same moment, when a fleet starts or its replicas come back. Connections are taken
// a few at a time, so that what holds the fleet together, which runs in the same
// process, does not wait behind all of them.
type pacedServer struct {
	server *http.Server
	// patience is how long a new connection counts as at work, at most.
	patience time.Duration
}

func newPacedServer(h http.Handler, idle time.Duration) *pacedServer {
	return &pacedServer{patience: pacedTime, server: &http.Server{
		Handler: h, ReadHeaderTimeout: callerHeader, IdleTimeout: idle,
		ConnState: func(c net.Conn, state http.ConnState) {
			if paced, ok := c.(*pacedConn); ok && (state == http.StateIdle || state == http.StateClosed) {
				paced.rested()
			}
		},
	}}
}

// Serve implements httpServer.
func (s *pacedServer) Serve(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errors.Errorf("a listener of type %T is not of TCP", l)
	}
	if err := sockets.Backlog(tcp, pacedBacklog); err != nil {
		return err
	}
	return s.server.Serve(newPacedListener(tcp, s.patience)) //nolint:wrapcheck // Callers compare with http.ErrServerClosed.
}

// Shutdown implements httpServer.
func (s *pacedServer) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx) //nolint:wrapcheck // As http.Server does.
}

// Close implements httpServer.
func (s *pacedServer) Close() error { return s.server.Close() } //nolint:wrapcheck // As http.Server does.

// pacedListener accepts connections while few are at work and not too many open.
type pacedListener struct {
	*net.TCPListener
	patience time.Duration
	active   chan struct{}
	open     chan struct{}
	once     sync.Once
	closed   chan struct{}
}

func newPacedListener(l *net.TCPListener, patience time.Duration) *pacedListener {
	return &pacedListener{
		TCPListener: l, active: make(chan struct{}, pacedActive), open: make(chan struct{}, pacedOpen),
		closed: make(chan struct{}), patience: patience,
	}
}

// Accept implements net.Listener.
func (l *pacedListener) Accept() (net.Conn, error) {
	if !l.take(l.open) {
		return nil, net.ErrClosed
	}
	if !l.take(l.active) {
		<-l.open
		return nil, net.ErrClosed
	}
	conn, err := sockets.Accept(l.TCPListener)
	if err != nil {
		<-l.active
		<-l.open
		return nil, err //nolint:wrapcheck // As net.Listener does.
	}
	paced := &pacedConn{Conn: conn, listener: l}
	paced.timer = time.AfterFunc(l.patience, paced.rested)
	return paced, nil
}

func (l *pacedListener) take(room chan struct{}) bool {
	select {
	case room <- struct{}{}:
		return true
	case <-l.closed:
		return false
	}
}

// Close implements net.Listener.
func (l *pacedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close() //nolint:wrapcheck // As net.Listener does.
}

// pacedConn is a connection of a pacedListener.
type pacedConn struct {
	net.Conn
	listener *pacedListener
	timer    *time.Timer
	rest     sync.Once
	end      sync.Once
}

// rested lets the next connection in.
func (c *pacedConn) rested() { c.rest.Do(func() { <-c.listener.active }) }

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.timer.Stop()
	c.rested()
	c.end.Do(func() { <-c.listener.open })
	return c.Conn.Close() //nolint:wrapcheck // As net.Conn does.
}
