// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import "time"

// ReplaceCause is why a connection to a host was replaced.
type ReplaceCause string

// Causes of a replaced connection: its calls were unanswered, the other end closed it, or it belongs
// to an earlier incarnation of the host.
const (
	ReplaceUnanswered ReplaceCause = "unanswered"
	ReplaceClosed     ReplaceCause = "closed"
	ReplaceRestarted  ReplaceCause = "restarted"
)

// replace counts, reports and closes a connection that is to be replaced.
func (s *sender) replace(cause ReplaceCause) {
	o := s.pool.options
	o.Counters.replaced(cause).Add(1)
	if o.OnReplace != nil {
		o.OnReplace(s.to, cause, time.Since(s.openedAt))
	}
	s.disconnect()
}

// deathCause reports whether messages on the connection would be lost, because the other end has
// closed it or belongs to an earlier incarnation of the host, and which of these it is.
func (s *sender) deathCause() (cause ReplaceCause, isDead bool) {
	switch {
	case s.conn.readFailed.Load():
		return ReplaceClosed, true
	case s.pool.options.PeerIncarnations.isSuperseded(s.to, s.incarnation):
		return ReplaceRestarted, true
	default:
		return "", false
	}
}
