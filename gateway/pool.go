// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const (
	connectTimeout = 400 * time.Millisecond
	// TCPUserTimeout closes a connection whose data stays unacknowledged (RFC 5482). It also decides
	// when keep-alive probes give up: a worker that is silent for two seconds keeps its connections.
	TCPUserTimeout = 3 * time.Second
	// defaultIdleTimeout is assumed for workers that send no Keep-Alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleSafetyMargin is subtracted from a worker's idle timeout, so that it does not close
	// a connection while a request is on its way.
	idleSafetyMargin = 800 * time.Millisecond
	maxIdlePerWorker = 32
	readBufferSize   = 4 << 10
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval = time.Second
	// singleUseTime is how long connections to a worker carry one request each after it sent a response without a
	// request id.
	singleUseTime = 30 * time.Second
)

// workerConn is a connection to a worker that carries one request at a time.
type workerConn struct {
	net.Conn
	reader  *bufio.Reader
	limit   *limitedReader
	process workerProcess
	// idleDeadline is when the connection expires if it is idle.
	idleDeadline time.Time
	// tunneled is set if the connection goes through another host. It carries one request, so that
	// that host knows by open tunnels what it carries.
	tunneled bool
	// newlyDialed is set until the pool hands the connection out again.
	newlyDialed bool
	// lastRequest is the request that it carried last.
	lastRequest ident.Request
	// openedAt is when the connection was known to be open.
	openedAt time.Time
}

// triedConns are the connections over which a request was sent before. A worker may send a copy of its answer
// to an earlier try where the next answer on the connection is due. The id tells the copy from answers to
// other requests, but not from the answer to a later try of the same one.
type triedConns []*workerConn

// mayCarry reports whether a connection has carried no earlier try of a request. The caller may have sent
// a request under the same id before.
func (t triedConns) mayCarry(c *workerConn, id ident.Request) bool {
	return c.lastRequest != id && !slices.Contains(t, c)
}

// workerProcess identifies one process of a worker. Connections are pooled by process, as
// those to an earlier incarnation of the worker are dead.
type workerProcess struct {
	id          ident.Target
	incarnation registry.Incarnation
}

func processOf(w registry.Worker) workerProcess { return workerProcess{id: w.ID, incarnation: w.Born} }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds idle connections to workers. It never resends a request.
type Pool struct {
	dialWorker DialFunc
	mu         sync.Mutex
	idle       map[workerProcess][]*workerConn
	// singleUse holds the workers whose connections carry one request each, and until when.
	singleUse map[workerProcess]time.Time
	// lastSweep is when expired connections of all workers were last closed.
	lastSweep time.Time
	// Dialed counts new connections, Reused those taken from the pool.
	Dialed atomic.Int64
	Reused atomic.Int64
}

// NewPool returns a pool that dials from the given local address; nil lets the system choose.
// wrapDial, if not nil, replaces the function that dials workers; tests simulate network partitions
// with it.
func NewPool(from *net.TCPAddr, wrapDial func(DialFunc) DialFunc) *Pool {
	d := &net.Dialer{Timeout: connectTimeout, Control: sockets.Control(TCPUserTimeout), KeepAliveConfig: sockets.KeepAlive()}
	if from != nil {
		d.LocalAddr = from
	}
	p := &Pool{dialWorker: d.DialContext, idle: map[workerProcess][]*workerConn{}, singleUse: map[workerProcess]time.Time{}}
	if wrapDial != nil {
		p.dialWorker = wrapDial(p.dialWorker)
	}
	return p
}

// reuse returns an idle connection to the worker that is still usable and has carried no earlier try of
// the request, or nil; the oldest one if that is asked for. It reports bytes that arrived on idle connections to the server.
func (p *Pool) reuse(w registry.Worker, id ident.Request, tried triedConns, oldest bool, s *Server) *workerConn {
	mayCarry := func(c *workerConn) bool { return tried.mayCarry(c, id) }
	for {
		c := p.takeIdle(processOf(w), mayCarry, oldest, s.now())
		if c == nil {
			return nil
		}
		state := c.idleState()
		if state == connIdle {
			p.Reused.Add(1)
			c.newlyDialed = false
			return c
		}
		if state == connUnread {
			s.reportSurplus(c)
		}
		_ = c.Close()
	}
}

// takeIdle removes and returns an idle connection of the worker that has not expired and satisfies mayCarry, or nil:
// the most recently added one, or the oldest.
func (p *Pool) takeIdle(id workerProcess, mayCarry func(*workerConn) bool, oldest bool, now time.Time) *workerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
	var taken *workerConn
	list := slices.DeleteFunc(p.idle[id], func(c *workerConn) bool {
		if now.Before(c.idleDeadline) {
			return false
		}
		_ = c.Close()
		return true
	})
	for _, c := range list {
		if mayCarry(c) && (taken == nil || !oldest || c.openedAt.Before(taken.openedAt)) {
			taken = c
		}
	}
	p.setIdle(id, slices.DeleteFunc(list, func(c *workerConn) bool { return c == taken }))
	return taken
}

// setIdle sets the idle connections of a worker. The caller holds mu.
func (p *Pool) setIdle(id workerProcess, list []*workerConn) {
	if len(list) == 0 {
		delete(p.idle, id)
		return
	}
	p.idle[id] = list
}

// closeExpired closes the expired idle connections of all workers, at most once per
// sweepInterval. The caller holds mu.
func (p *Pool) closeExpired(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				remaining = append(remaining, c)
			} else {
				_ = c.Close()
			}
		}
		p.setIdle(id, remaining)
	}
	for id, until := range p.singleUse {
		if !now.Before(until) {
			delete(p.singleUse, id)
		}
	}
}

// stopReuse has connections to a worker carry one request each for singleUseTime. What the worker sends without a
// request id can then belong to that request only.
func (p *Pool) stopReuse(id workerProcess, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.singleUse[id] = now.Add(singleUseTime)
	for _, c := range p.idle[id] {
		_ = c.Close()
	}
	delete(p.idle, id)
}

// release returns a connection to the pool, or closes it if the pool has enough for its worker or the worker's
// connections carry one request each.
// idleTimeout is the one that the worker reported; 0 is defaultIdleTimeout.
func (p *Pool) release(c *workerConn, idleTimeout time.Duration, now time.Time) {
	if c.tunneled {
		_ = c.Close()
		return
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.idleDeadline = now.Add(idleTimeout - idleSafetyMargin)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.process]) >= maxIdlePerWorker || now.Before(p.singleUse[c.process]) {
		_ = c.Close()
		return
	}
	p.idle[c.process] = append(p.idle[c.process], c)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[workerProcess][]*workerConn{}
}

// Dial opens a connection to a worker that is not pooled.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.dialWorker(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.Dialed.Add(1)
	return conn, nil
}

func (p *Pool) dial(ctx context.Context, w registry.Worker, now func() time.Time) (*workerConn, error) {
	conn, err := p.Dial(ctx, w.Address)
	if err != nil {
		return nil, err
	}
	c := newWorkerConn(conn, w)
	c.openedAt = now()
	return c, nil
}

func newWorkerConn(conn net.Conn, w registry.Worker) *workerConn {
	limit := &limitedReader{Reader: conn}
	return &workerConn{Conn: conn, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit, process: processOf(w), newlyDialed: true}
}
