// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
)

// lease is what a host knows about another host to which it has sent confirmations.
type lease struct {
	incarnation uint64
	// inForce is the oldest table that the other host, or any host to which it granted a lease in
	// turn, may still apply, as it reports.
	inForce config.Version
	// newestSent is the newest version sent, most recently at sentAt; olderSentAt is when an
	// older one was last sent.
	newestSent  config.Version
	sentAt      time.Time
	olderSentAt time.Time
}

// lastSentBefore returns when the host was last sent a confirmation of a table older than v; zero
// if never.
func (l lease) lastSentBefore(v config.Version) time.Time {
	if l.newestSent < v {
		return l.sentAt
	}
	return l.olderSentAt
}

// withSent returns the lease after a confirmation of v was sent.
func (l lease) withSent(v config.Version, now time.Time) lease {
	if v > l.newestSent {
		if l.newestSent > 0 {
			l.olderSentAt = l.sentAt
		}
		l.newestSent = v
	}
	l.sentAt = now
	return l
}
