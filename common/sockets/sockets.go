// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package sockets sets what connections need that may be cut off silently.
//
// # Usage
//
//	d := net.Dialer{Control: sockets.Control(2 * time.Second), KeepAliveConfig: sockets.KeepAlive()}
//	l := net.ListenConfig{Control: sockets.Control(2 * time.Second)}
package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	probePeriod = time.Second
	probeCount  = 3
)

// KeepAlive finds a silent peer within a few seconds.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount}
}

// Control makes a socket give up on bytes that are not acknowledged in time
// (TCP_USER_TIMEOUT, RFC 5482).
func Control(userTimeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "socket")
		}
		return errors.Wrap(failed, "set user timeout")
	}
}
