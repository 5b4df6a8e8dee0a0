// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// PartitionKind is how connections fail during a partition.
type PartitionKind uint8

// Kinds of partitions.
const (
	// Connected is no partition.
	Connected PartitionKind = iota
	// Silent connections hang, new ones too; what was written is delivered after the partition.
	Silent
	// Resetting resets open connections and refuses new ones.
	Resetting
	// Refusing refuses new connections, while open ones go on.
	Refusing
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Partition separates one host from all workers. The zero value does not.
type Partition struct {
	mu    sync.Mutex
	kind  PartitionKind
	conns map[*partitionedConn]bool
	// dialed counts the connections that were opened.
	dialed int
}

// Set starts a partition of a kind, or ends it.
func (p *Partition) Set(k PartitionKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind = k
	for c := range p.conns {
		switch k {
		case Resetting:
			_ = c.SetLinger(0)
			_ = c.Close()
		case Connected:
			c.flush()
		case Silent, Refusing:
		}
	}
}

// Dialed counts the connections opened so far.
func (p *Partition) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

func (p *Partition) current() PartitionKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind
}

// Wrap returns a function that opens connections across the partition.
func (p *Partition) Wrap(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch p.current() {
		case Silent:
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		case Resetting, Refusing:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", unix.ECONNREFUSED)}
		case Connected:
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // The caller sees the errors of dial.
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil, errors.Errorf("a %T is no TCP connection", conn)
		}
		c := &partitionedConn{TCPConn: tcp, partition: p}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.conns == nil {
			p.conns = map[*partitionedConn]bool{}
		}
		p.conns[c] = true
		p.dialed++
		return c, nil
	}
}

// partitionedConn is a connection that may be separated from its other end.
type partitionedConn struct {
	*net.TCPConn
	partition *Partition

	mu       sync.Mutex
	closed   bool
	deadline time.Time
	// unsent was written during a partition.
	unsent []byte
}

var _ syscall.Conn = (*partitionedConn)(nil)

// flush sends what was written during the partition.
func (c *partitionedConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) > 0 && !c.closed {
		_, _ = c.TCPConn.Write(c.unsent)
	}
	c.unsent = nil
}

// silentPoll is the time between two looks at whether a partition has ended.
const silentPoll = 5 * time.Millisecond

// Read implements net.Conn. Nothing is read during a silent partition.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	for c.partition.current() == Silent {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return 0, net.ErrClosed
		case !deadline.IsZero() && time.Now().After(deadline):
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		time.Sleep(silentPoll)
	}
	return n, err //nolint:wrapcheck // io.Reader returns io.EOF itself.
}

// Write implements net.Conn. Nothing is sent during a silent partition.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.partition.current() != Silent {
		return c.TCPConn.Write(b) //nolint:wrapcheck // The caller sees the errors of the connection.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = append(c.unsent, b...)
	return len(b), nil
}

// SetDeadline implements net.Conn.
func (c *partitionedConn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.TCPConn.SetDeadline(t) //nolint:wrapcheck // The caller sees the errors of the connection.
}

// SetReadDeadline implements net.Conn.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.TCPConn.SetReadDeadline(t) //nolint:wrapcheck // The caller sees the errors of the connection.
}

func (c *partitionedConn) noteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.TCPConn.Close() //nolint:wrapcheck // The caller sees the errors of the connection.
}
