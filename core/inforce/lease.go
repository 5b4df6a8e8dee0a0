// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
)

// lease is what a host knows of one that it sent confirmations.
type lease struct {
	boot uint64
	// inForce is the oldest table by which the other host, or any that it granted a
	// lease in turn, may serve, as it reports.
	inForce config.Version
	// newestSent is the newest version that it was sent, last at sentAt; olderSentAt is
	// when it was last sent an older one.
	newestSent  config.Version
	sentAt      time.Time
	olderSentAt time.Time
}

// lastSentBefore is when the host was last sent a confirmation of a table older than v;
// zero for never.
func (l lease) lastSentBefore(v config.Version) time.Time {
	if l.newestSent < v {
		return l.sentAt
	}
	return l.olderSentAt
}

// withSent returns the lease after the host was sent a confirmation of v.
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
