//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/yardhall/yardhall/platform"
)

// The wire of a worker may misbehave: an answer has neither a length nor chunks and ends with its
// connection, a decline is sent once more where the next answer on the connection is due, a response without an
// id is sent there (surplus_test.go), or bytes come without end. All are drawn from series of their own. A fleet that is mixed with an earlier program has sound wires, as that program
// takes lost answers for whole ones and late copies for answers.

const (
	unframedShare  = 0.4
	copyShare      = 0.4
	withoutIDShare = 0.3
)

// misbehavingWires reports whether wires may misbehave.
func misbehavingWires() bool { return *earlier == "" }

// wireConn is a connection to a worker.
type wireConn struct {
	net.Conn
	mu sync.Mutex
	// copies is set if the next answer is sent again, due is what is sent ahead of the next write.
	copies bool
	due    []byte
	// later is sent ahead of the answer to the next request.
	later []byte
	// unframed is set while an answer is under way that ends with the connection.
	unframed bool
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if due := c.due; len(due) > 0 {
		c.due = nil
		if _, err := c.Conn.Write(due); err != nil {
			return 0, err
		}
	}
	if c.copies {
		c.copies, c.due = false, bytes.Clone(p)
	}
	return c.Conn.Write(p)
}

func (c *wireConn) copyNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies = true
}

func (c *wireConn) setUnframed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframed = true
}

// abort ends the connection as the operating system does with unread bytes: an unframed answer that is not
// whole ends by a reset.
func (c *wireConn) abort() {
	c.mu.Lock()
	unframed := c.unframed
	c.mu.Unlock()
	if unframed {
		resetConn(c.Conn)
	}
}

// wireListener accepts the connections of a worker.
type wireListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*wireConn
}

// Accept implements net.Listener.
func (l *wireListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &wireConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// abort ends all unframed answers.
func (l *wireListener) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.abort()
	}
}

type wireKey struct{}

func withWire(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, wireKey{}, c)
}

func wireOf(r *http.Request) *wireConn { return r.Context().Value(wireKey{}).(*wireConn) }

func newWires(seed uint64, n node) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n)+3000)) }

// drawWire draws a fault of the wire that has a share.
func (w *soakWorker) drawWire(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wires.Float64() < share && misbehavingWires()
}

// decline answers that the request was not run, perhaps without its id, and perhaps once more where the next
// answer is due.
func (w *soakWorker) decline(out http.ResponseWriter, r *http.Request) {
	names := platform.Headers()
	if !w.drawWire(withoutIDShare) {
		out.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	}
	if w.drawWire(copyShare) {
		wireOf(r).copyNext()
	}
	out.Header().Set(names.NotRun, "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

// frame draws whether an answer has neither a length nor chunks.
func (w *soakWorker) frame(out http.ResponseWriter, r *http.Request) (unframed bool) {
	if !w.drawWire(unframedShare) {
		return false
	}
	wireOf(r).setUnframed()
	// net/http closes the connection after such an answer and does not send the header.
	out.Header().Set("Transfer-Encoding", "identity")
	return true
}

// cut ends an answer midway.
func cut(r *http.Request) {
	wireOf(r).abort()
	panic(http.ErrAbortHandler)
}
