// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package sockets

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlags is the place of the flags in a TCP header (RFC 9293, 3.1).
	tcpFlags    = 13
	tcpSYN      = 1 << 1
	wholePacket = 1<<32 - 1
)

// RefuseNew makes a listener ignore new connections while those that are
// complete can still be accepted: a caller whose opening packet is ignored
// sends it again, and is refused once the listener is closed. A close alone
// would reset connections that wait to be accepted. An error means that the
// system cannot filter packets; the listener is then unchanged.
func RefuseNew(l net.Listener) error {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return errors.Errorf("a listener of type %T has no socket", l)
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	program, err := ignoreOpenings()
	if err != nil {
		return err
	}
	var failed error
	err = conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(failed, "attach filter")
}

// ignoreOpenings is a filter that drops packets with the SYN flag.
func ignoreOpenings() (*unix.SockFprog, error) {
	instructions, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlags, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: wholePacket},
	})
	if err != nil {
		return nil, errors.Wrap(err, "assemble filter")
	}
	filter := make([]unix.SockFilter, len(instructions))
	for i, in := range instructions {
		filter[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	return &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}, nil //nolint:gosec // Four instructions.
}
