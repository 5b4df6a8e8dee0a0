// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package confirmation holds what a leader says of a route table: that it was the newest
// one, as of a time. Whoever passes a confirmation on (hubs, entry hosts that are polled in
// place of replicas) passes on its age, and whoever gets one counts it from the time at
// which it sent its poll. So a confirmation grows older from host to host and never younger,
// also where a host on the way is held up, and a lease that runs from its as-of time ends in
// time everywhere.
//
// It owns no state; leaders, hubs, fallback peers and leases use the type.
//
// # Usage
//
//	c = c.Newest(confirmation.OfReply(pollSentAt, reply.Age))
//	if c.Valid(keyLease, now) { ... }
package confirmation

import "time"

// Confirmation says that a route table was the newest one. The zero value says nothing.
type Confirmation struct {
	// AsOf is the time for which it holds; zero for never.
	AsOf time.Time
}

// At is the confirmation of a leader at a time.
func At(asOf time.Time) Confirmation { return Confirmation{AsOf: asOf} }

// FromReply is the confirmation in the reply to a poll that was sent at a time; age is how
// old it was where the reply came from, 0 at a leader.
func FromReply(sent time.Time, age time.Duration) Confirmation {
	return At(sent.Add(-age))
}

// Latest returns the later one of two.
func (c Confirmation) Latest(other Confirmation) Confirmation {
	if other.AsOf.After(c.AsOf) {
		return other
	}
	return c
}

// IsZero tells whether there has been none.
func (c Confirmation) IsZero() bool { return c.AsOf.IsZero() }

// Age is the time since the as-of time; meaningless where there has been none.
func (c Confirmation) Age(now time.Time) time.Duration { return now.Sub(c.AsOf) }

// Valid tells whether a lease of some length that runs from the as-of time still holds.
func (c Confirmation) Valid(lease time.Duration, now time.Time) bool {
	return !c.IsZero() && c.Age(now) < lease
}
