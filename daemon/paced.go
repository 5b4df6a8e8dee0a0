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
	// pacedActive is how many new connections may be at work at once, and
	// pacedTime how long one counts as that, at most: one that says nothing must not
	// keep others out.
	pacedActive = 16
	// pacedLeast is how many are left where the processor is short.
	pacedLeast = 1
	pacedTime  = 150 * time.Millisecond
	// pacedOpen bounds the open connections.
	pacedOpen = 1024
	// pacedBacklog is how many connections may wait to be accepted, and leastBacklog
	// where the processor is short: no more than are accepted in backlogTime, which is
	// less than their callers wait for an answer. What is accepted later is answered
	// for nobody, and such work can take all of the processor for good.
	pacedBacklog = 256
	leastBacklog = 16
	backlogTime  = 400 * time.Millisecond
	// backlogInterval is the time between two settings of the backlog.
	backlogInterval = 500 * time.Millisecond
	// lateTick is how late a tick of the loop shows that the processor is short, and
	// onTime that it is not.
	lateTick = 100 * time.Millisecond
	onTime   = tickInterval
)

// pace bounds how many connections of workers and operators are at work at once, by
// how late the process's own ticks are: what holds the fleet together goes first.
type pace struct{ gate *gate.Gate }

func newPace() pace { return pace{gate: gate.New(pacedActive)} }

// ticked takes the delay of a tick: it halves the number or raises it by one.
func (p pace) ticked(late time.Duration) {
	switch n := p.gate.Limit(); {
	case late > lateTick && n > pacedLeast:
		p.gate.SetLimit(max(pacedLeast, n/2))
	case late <= onTime && n < pacedActive:
		p.gate.SetLimit(n + 1)
	}
}

// short tells whether the processor has been short just now.
func (p pace) short() bool { return p.gate.Limit() < pacedActive }

// pacedServer serves workers and the operator. Thousands of workers may call in the
// same moment, when a fleet starts or its replicas come back. Connections are taken
// a few at a time, so that what holds the fleet together, which runs in the same
// process, does not wait behind all of them.
type pacedServer struct {
	server *http.Server
	pace   pace
	// patience is how long a new connection counts as at work, at most.
	patience time.Duration
}

func newPacedServer(h http.Handler, idle time.Duration, p pace) *pacedServer {
	return &pacedServer{patience: pacedTime, pace: p, server: &http.Server{
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
	if err := sockets.Backlog(tcp, pacedBacklog); err != nil {
		return err
	}
	return s.server.Serve(newPacedListener(tcp, s.pace, s.patience)) //nolint:wrapcheck // Callers compare with http.ErrServerClosed.
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
	pace     pace
	open     *gate.Gate
	backlog  backlog
	once     sync.Once
	closed   chan struct{}
}

func newPacedListener(l *net.TCPListener, p pace, patience time.Duration) *pacedListener {
	return &pacedListener{
		TCPListener: l, pace: p, open: gate.New(pacedOpen), closed: make(chan struct{}), patience: patience,
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
	pass.EndAfter(l.patience)
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

// backlog is how many connections may wait to be accepted. The zero value is the
// backlog of a listener that has just been opened.
type backlog struct {
	since time.Time
	count int
	set   int
}

// accepted counts an accepted connection at now, and returns another backlog where it
// is time for one.
func (b *backlog) accepted(now time.Time, short bool) (n int, changed bool) {
	b.count++
	if b.since.IsZero() {
		b.since, b.set = now, pacedBacklog
	}
	passed := now.Sub(b.since)
	if passed < backlogInterval {
		return b.set, false
	}
	n = pacedBacklog
	if short {
		rate := float64(b.count) / passed.Seconds()
		n = min(max(leastBacklog, int(rate*backlogTime.Seconds())), pacedBacklog)
	}
	changed = n != b.set
	b.since, b.count, b.set = now, 0, n
	return n, changed
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
