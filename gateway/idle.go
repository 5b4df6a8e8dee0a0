// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// connState is the state of a connection that carries no request.
type connState uint8

const (
	connClosed connState = iota
	connIdle
	// connUnread has unread bytes, which would be parsed as the next response.
	connUnread
)

// isOpenAndIdle reports whether an idle connection is neither closed by the worker nor has unread bytes.
func (c *workerConn) isOpenAndIdle() bool { return c.idleState() == connIdle }

// isUsable reports whether a connection that carries no request may carry one. Of a tunnel that is not known.
func (c *workerConn) isUsable() bool { return c.tunneled || c.isOpenAndIdle() }

// idleState returns what a non-blocking read finds on an idle connection.
func (c *workerConn) idleState() connState {
	if c.reader.Buffered() > 0 {
		return connUnread
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, rerr := unix.Read(int(fd), buf[:])
		switch {
		case errors.Is(rerr, unix.EAGAIN):
			state = connIdle
		case n > 0:
			state = connUnread
		}
		return true
	})
	if err != nil {
		return connClosed
	}
	return state
}
