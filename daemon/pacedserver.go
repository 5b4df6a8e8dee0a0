// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/common/sockets"
)

const (
	// workTime is how long a new connection counts as at work, at most: one that says
	// nothing must not keep others out. Chosen, not measured.
	workTime = 150 * time.Millisecond
	// maxOpen bounds the open connections of a port. Chosen, not measured: a quarter of
	// the descriptors that a small machine allows.
	maxOpen = 1024
)

// pacedServer serves workers and the operator at the process's pace (pace.go).
type pacedServer struct {
	server *http.Server
	pace   pace
	// workTime is how long a new connection counts as at work, at most.
	workTime time.Duration
}

func newPacedServer(h http.Handler, idle time.Duration, p pace) *pacedServer {
	return &pacedServer{workTime: workTime, pace: p, server: &http.Server{
		Handler: h, ReadHeaderTimeout: callerHeader, IdleTimeout: idle,
		ConnState: func(c net.Conn, state http.ConnState) {
			if paced, ok := c.(*pacedConn); ok && (state == http.StateIdle || state == http.StateClosed) {
				paced.pass.Leave()
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
	if err := sockets.Backlog(tcp, maxBacklog); err != nil {
		return err
	}
	return s.server.Serve(newPacedListener(tcp, s.pace, s.workTime)) //nolint:wrapcheck // Callers compare with http.ErrServerClosed.
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
	workTime time.Duration
	pace     pace
	open     *gate.Gate
	backlog  backlog
	once     sync.Once
	closed   chan struct{}
}

func newPacedListener(l *net.TCPListener, p pace, workTime time.Duration) *pacedListener {
	return &pacedListener{
		TCPListener: l, pace: p, open: gate.New(maxOpen), closed: make(chan struct{}), workTime: workTime,
	}
}

// Accept implements net.Listener.
func (l *pacedListener) Accept() (net.Conn, error) {
	open, ok := l.open.Enter(l.closed)
	if !ok {
		return nil, net.ErrClosed
	}
	pass, ok := l.pace.gate.Enter(l.closed)
	if !ok {
		open.Leave()
		return nil, net.ErrClosed
	}
	conn, err := sockets.Accept(l.TCPListener)
	if err != nil {
		pass.Leave()
		open.Leave()
		return nil, err //nolint:wrapcheck // As net.Listener does.
	}
	pass.EndAfter(l.workTime)
	paced := &pacedConn{Conn: conn, pass: pass, open: open}
	if n, changed := l.backlog.accepted(time.Now(), l.pace.short()); changed {
		if err := sockets.Backlog(l.TCPListener, n); err != nil {
			_ = paced.Close()
			return nil, err
		}
	}
	return paced, nil
}

// Close implements net.Listener.
func (l *pacedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close() //nolint:wrapcheck // As net.Listener does.
}

// pacedConn is a connection of a pacedListener.
type pacedConn struct {
	net.Conn
	pass, open *gate.Pass
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.pass.Leave()
	c.open.Leave()
	return c.Conn.Close() //nolint:wrapcheck // As net.Conn does.
}
