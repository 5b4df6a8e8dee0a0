// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "time"

// Route tables and full batches of registrations are limited in each tick, as they would delay the
// heartbeats of the replicated log on a slow link. The limit follows the time until clients
// acknowledge full batches, which grows with the queue on the way there and with the load of the
// processors at both ends: additive increase, multiplicative decrease. Links of several times the
// least rate are thus used without a setting, and clients of earlier versions, which acknowledge
// only with their next scheduled poll, leave the limit at its least.
//
// Inputs: bytes sent in this tick, times from a batch to its acknowledgement.
const (
	// minBulkBytesPerTick is the least limit: at 20 ticks a second 400 kB/s, half of a 6 Mbit/s
	// link.
	minBulkBytesPerTick = 20 << 10
	// maxBulkBytesPerTick is the largest: 40 Mbit/s.
	maxBulkBytesPerTick = 256 << 10
	// bulkIncrease is added to the limit by each batch acknowledged within fastAcknowledgement;
	// one that takes longer than slowAcknowledgement halves it. The latter is a fraction of the
	// time in which a replica must receive the leader's heartbeat.
	bulkIncrease        = 2 << 10
	fastAcknowledgement = 80 * time.Millisecond
	slowAcknowledgement = 200 * time.Millisecond
)

// bulkLimit limits bulk bytes by tick. The zero value has the least limit.
type bulkLimit struct {
	// sent counts the bytes sent since the last tick.
	sent int
	// extra is what the limit exceeds the least one by.
	extra int
}

// hasRoom reports whether the limit of this tick is not used up.
func (b bulkLimit) hasRoom() bool { return b.sent < minBulkBytesPerTick+b.extra }

// withAcknowledged returns the limit after a full batch was acknowledged after a time.
func (b bulkLimit) withAcknowledged(after time.Duration) bulkLimit {
	switch {
	case after <= fastAcknowledgement:
		b.extra = min(maxBulkBytesPerTick-minBulkBytesPerTick, b.extra+bulkIncrease)
	case after > slowAcknowledgement:
		b.extra /= 2
	}
	return b
}
