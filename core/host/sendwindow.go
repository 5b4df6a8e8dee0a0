// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "time"

// sendWindow tracks what a client has of a series of updates that are numbered in order. Updates after the
// acknowledged one are sent without waiting for it, so a client that still reports an earlier number may
// have them in transit or may have lost them. They count as lost once no acknowledgement has advanced
// for a timeout, however many were sent since, or at once if the client has noticed a gap.
//
// Inputs: the numbers that the client reports, whether it misses updates, the time in transit allowed.
// The zero value has sent nothing.
type sendWindow struct {
	// acknowledged is the last update that the client has, sent the last one sent.
	acknowledged uint64
	sent         uint64
	// waitingSince is when the oldest unacknowledged update was sent or, if later, when the client last
	// acknowledged one.
	waitingSince time.Time
}

// newSendWindow returns the window of a client that has the updates up to n.
func newSendWindow(n uint64) sendWindow { return sendWindow{acknowledged: n, sent: n} }

// withSent returns the window after updates up to n were sent.
func (w sendWindow) withSent(n uint64, now time.Time) sendWindow {
	if n <= w.sent {
		return w
	}
	if w.sent == w.acknowledged {
		w.waitingSince = now
	}
	w.sent = n
	return w
}

// withAcknowledged returns the window after the client reported that it has the updates up to n. If later
// ones are lost, they are sent again from there.
func (w sendWindow) withAcknowledged(n uint64, missed bool, timeout time.Duration, now time.Time) sendWindow {
	switch {
	case n >= w.sent || n < w.acknowledged:
		return newSendWindow(n)
	case n > w.acknowledged:
		w.acknowledged, w.waitingSince = n, now
	}
	if missed || now.Sub(w.waitingSince) >= timeout {
		return newSendWindow(n)
	}
	return w
}
