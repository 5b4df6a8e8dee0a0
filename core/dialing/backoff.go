// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package dialing decides when a host opens a connection to another one again after it failed, and
// for how long an accepted connection may wait for its handshake.
//
// A handshake costs both processors far more than a message. A host that gives up waiting for one
// and dials again adds a handshake to those that made it wait, so a fleet that starts all at once
// could spend its replicas' processors on handshakes of hosts that have already given up. Two rules
// prevent that: an accepted connection is closed unread once it has waited for MaxHandshakeWait,
// and hosts that find a process overloaded return later each time, at different moments.
//
// # Usage
//
//	b, wait := b.After(dialing.Overloaded, draw) // after a failed dial
//	b = dialing.Backoff{}                        // after a successful one
package dialing

import "time"

// Failure is why a connection could not be opened.
type Failure int

const (
	// Refused means that no process listens, so none could be overloaded, and one is likely about
	// to start.
	Refused Failure = iota
	// Unreachable means that the host's system did not reply.
	Unreachable
	// Overloaded means that the host's system accepted the connection, but its process closed it or
	// did not reply to the hello in time.
	Overloaded
)

const (
	// refusedDelay is the delay after a refused dial.
	refusedDelay = 100 * time.Millisecond
	// minDelay is the longest delay after the first failure of another kind. It doubles with each
	// further one, up to maxUnreachableDelay or maxOverloadedDelay. Hosts behind a partition must
	// return soon after its end; an overloaded process is relieved only by longer delays.
	minDelay            = 200 * time.Millisecond
	maxUnreachableDelay = 800 * time.Millisecond
	maxOverloadedDelay  = 3200 * time.Millisecond
	// MaxHandshakeWait is how long an accepted connection may wait for its handshake. It is well
	// below HelloTimeout, so that no handshake is served for a host that has given up.
	MaxHandshakeWait = 500 * time.Millisecond
	// HelloTimeout is how long a host waits for the reply to its hello.
	HelloTimeout = 2 * time.Second
)

// Backoff is the delay between attempts to open a connection. The zero value is that of a host that
// was reachable.
type Backoff struct{ delay time.Duration }

// After returns the backoff after a failure, and how long to wait before the next attempt: by a
// random draw between half of the delay and the delay.
func (b Backoff) After(f Failure, draw uint64) (Backoff, time.Duration) {
	if f == Refused {
		return b, refusedDelay
	}
	limit := maxUnreachableDelay
	if f == Overloaded {
		limit = maxOverloadedDelay
	}
	b.delay = min(max(minDelay, 2*b.delay), limit)
	half := b.delay / 2
	return b, half + time.Duration(draw%uint64(half+1)) //nolint:gosec // Delays are positive and far below the limits of both types.
}
