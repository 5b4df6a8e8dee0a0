// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const (
	// connectTimeout bounds a new connection to a worker. Chosen, not measured.
	connectTimeout = 400 * time.Millisecond
	// TCPUserTimeout ends a connection whose bytes are not acknowledged (RFC 5482). Chosen,
	// not measured.
	TCPUserTimeout = 2 * time.Second
	// assumedIdle is how long a worker keeps an idle connection where it does not say.
	// Chosen, not measured.
	assumedIdle = 2 * time.Second
	// idleMargin is kept from the time that a worker gives, so that its close does not
	// cross a request. Chosen, not measured.
	idleMargin = 800 * time.Millisecond
	// maxIdle bounds the idle connections kept to one worker. Chosen, not measured.
	maxIdle = 32
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
	// sweepEvery is the time between two looks over all idle connections.
	sweepEvery = time.Second
)

// workerConn is a connection to a worker that carries one request at a time.
type workerConn struct {
	net.Conn
	reader *bufio.Reader
	worker process
	// until is how long the connection may be kept idle.
	until time.Time
	fresh bool
}

// process is one process of a worker: a connection to an earlier one leads nowhere.
type process struct {
	id   ident.Target
	born registry.Incarnation
}

func processOf(w registry.Worker) process { return process{id: w.ID, born: w.Born} }

// Pool keeps connections to workers. It never sends anything twice.
type Pool struct {
	from *net.TCPAddr
	mu   sync.Mutex
	idle map[process][]*workerConn
	// swept is when idle connections were last looked through.
	swept time.Time
	// Dialed counts new connections, Reused those taken up again.
	Dialed atomic.Int64
	Reused atomic.Int64
}

// NewPool returns a pool that dials from the given address; nil leaves it to
// the system.
func NewPool(from *net.TCPAddr) *Pool {
	return &Pool{from: from, idle: map[process][]*workerConn{}}
}

// get returns a connection to the worker: an idle one that is open and silent, or a new
// one.
func (p *Pool) get(ctx context.Context, w registry.Worker, now time.Time) (*workerConn, error) {
	for {
		c := p.takeIdle(processOf(w), now)
		if c == nil {
			return p.dial(ctx, w)
		}
		if c.openAndSilent() {
			p.Reused.Add(1)
			c.fresh = false
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(id process, now time.Time) *workerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[id]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[id] = list
		if now.Before(c.until) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, id)
	return nil
}

// sweep closes what has been idle for too long. The caller holds mu.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *workerConn, keep time.Duration, now time.Time) {
	if keep <= 0 {
		keep = assumedIdle
	}
	c.until = now.Add(keep - idleMargin)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.worker]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.worker] = append(p.idle[c.worker], c)
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
	p.idle = map[process][]*workerConn{}
}

func (p *Pool) dial(ctx context.Context, w registry.Worker) (*workerConn, error) {
	d := &net.Dialer{Timeout: connectTimeout, Control: sockets.Control(TCPUserTimeout), KeepAliveConfig: sockets.KeepAlive()}
	if p.from != nil {
		d.LocalAddr = p.from
	}
	conn, err := d.DialContext(ctx, "tcp", w.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.Dialed.Add(1)
	return &workerConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), worker: processOf(w), fresh: true}, nil
}

// openAndSilent tells whether an idle connection is open and silent: bytes that came
// unasked belong to no request.
func (c *workerConn) openAndSilent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, rerr := unix.Read(int(fd), one[:])
		silent = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}
