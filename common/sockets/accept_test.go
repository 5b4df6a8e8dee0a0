// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package sockets_test

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/sockets"
)

// shortListener has no descriptors for its first connections.
type shortListener struct {
	net.Listener
	failures int
	err      error
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestAcceptWaitsForDescriptors runs out of descriptors for three connections, and
// then meets an error that does not pass.
func TestAcceptWaitsForDescriptors(t *testing.T) {
	l := listen(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	conn, err := sockets.Accept(&shortListener{Listener: l, failures: 3, err: unix.EMFILE})
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	_, err = sockets.Accept(&shortListener{Listener: l, failures: 1, err: unix.EINVAL})
	require.ErrorIs(t, err, unix.EINVAL)
	require.NoError(t, l.Close())
	_, err = sockets.Accept(l)
	require.ErrorIs(t, err, net.ErrClosed)
}

func TestBacklogIsSet(t *testing.T) {
	l := listen(t)
	require.NoError(t, sockets.Backlog(l, 1))
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	require.NoError(t, l.Close())
	require.Error(t, sockets.Backlog(l, 1))
}
