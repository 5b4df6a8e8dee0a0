// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package sockets

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minAcceptPause and maxAcceptPause bound the wait after a connection that the
	// system had no room for; it doubles.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// Accept takes the next connection of a listener. Where descriptors or memory are
// short it waits and tries again: that passes, and must not end who listens.
func Accept(l net.Listener) (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Accept()
		if err == nil || !passes(err) {
			return conn, err //nolint:wrapcheck // Callers compare with net.ErrClosed and add the context.
		}
		time.Sleep(pause)
	}
}

// passes tells whether an error of accept concerns the moment only.
func passes(err error) bool {
	for _, short := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED} {
		if errors.Is(err, short) {
			return true
		}
	}
	return false
}

// Backlog sets how many connections may wait to be accepted. Beyond them new ones
// are not answered, so that a busy process does not work for callers who have left.
func Backlog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), n) }); err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(failed, "set backlog")
}
