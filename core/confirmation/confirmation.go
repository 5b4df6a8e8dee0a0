// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package confirmation defines the confirmation that a route table was the newest one as of a
// given time. The leader issues confirmations; hubs, and entry hosts that are polled instead
// of replicas, relay them together with their age. A receiver subtracts the age from the time
// at which it sent its poll, so a confirmation may get older at each hop but never newer, even
// if a host on the path is delayed. A lease that starts at the as-of time therefore ends no
// later on any host than at the leader.
//
// # Usage
//
//	c = c.Latest(confirmation.FromReply(pollSentAt, reply.Age))
//	if c.Valid(keyLease, now) { ... }
package confirmation

import "time"

// Confirmation states that a route table was the newest one at a given time. The zero value is no
// confirmation.
type Confirmation struct {
	// AsOf is the time at which the route table was the newest; zero if never confirmed.
	AsOf time.Time
}

// At returns a confirmation as of the given time, as the leader issues it.
func At(asOf time.Time) Confirmation { return Confirmation{AsOf: asOf} }

// FromReply returns the confirmation in the reply to a poll sent at the given time; age is the
// confirmation's age at the replying host, 0 at the leader.
func FromReply(sent time.Time, age time.Duration) Confirmation {
	return At(sent.Add(-age))
}

// Latest returns the later of the two confirmations.
func (c Confirmation) Latest(other Confirmation) Confirmation {
	if other.AsOf.After(c.AsOf) {
		return other
	}
	return c
}

// IsZero reports whether there is no confirmation.
func (c Confirmation) IsZero() bool { return c.AsOf.IsZero() }

// Age returns the time since AsOf. It is meaningless for the zero value.
func (c Confirmation) Age(now time.Time) time.Duration { return now.Sub(c.AsOf) }

// Valid reports whether a lease of the given length, starting at AsOf, is still valid.
func (c Confirmation) Valid(lease time.Duration, now time.Time) bool {
	return !c.IsZero() && c.Age(now) < lease
}
