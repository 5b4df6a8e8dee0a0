// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package dialing

import "time"

// A connection without replies may be dead without a sign of it, as after a loss of power, so it is
// replaced once calls have been unanswered for a timeout. A connection to a slow process must not be
// replaced: that adds a handshake to its work, which makes it slower. The timeout therefore follows the
// measured reply times, as TCP's retransmission timeout does (RFC 6298), and doubles with each replaced
// connection until a reply arrives.
const (
	// MinReplyTimeout is the timeout at a process that replies promptly, maxReplyTimeout the
	// longest one.
	MinReplyTimeout = 1200 * time.Millisecond
	maxReplyTimeout = 10 * time.Second
	// gain and variationGain are the weights of a new measurement in the smoothed reply time and in
	// its mean deviation; variations is the number of mean deviations added to the smoothed time
	// (RFC 6298, 2).
	gain          = 8
	variationGain = 4
	variations    = 4
)

// ReplyTime estimates how long a process takes to reply. The zero value knows of no reply.
type ReplyTime struct {
	smoothed, variation time.Duration
	timeouts            int
}

// With returns the estimate after a reply that took d.
func (r ReplyTime) With(d time.Duration) ReplyTime {
	r.timeouts = 0
	if r.smoothed == 0 {
		r.smoothed, r.variation = d, d/2
		return r
	}
	r.variation += ((r.smoothed - d).Abs() - r.variation) / variationGain
	r.smoothed += (d - r.smoothed) / gain
	return r
}

// WithTimeout returns the estimate after calls were unanswered for the timeout.
func (r ReplyTime) WithTimeout() ReplyTime {
	r.timeouts++
	return r
}

// Timeout returns how long calls may be unanswered before the connection is replaced.
func (r ReplyTime) Timeout() time.Duration {
	d := max(MinReplyTimeout, r.smoothed+variations*r.variation)
	for range r.timeouts {
		if d >= maxReplyTimeout {
			break
		}
		d *= 2
	}
	return min(d, maxReplyTimeout)
}
