// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import (
	"cmp"
	"time"
)

// Defaults of Options. Chosen, not measured; seeded fleets take shorter times.
const (
	DefaultElection  = 1500 * time.Millisecond
	DefaultHeartbeat = 400 * time.Millisecond
	DefaultMaxBatch  = 64 << 10
	DefaultChunk     = 128 << 10
	// leaseDrift is the share of the election time by which clocks may differ
	// in rate while a lease is still trusted: 1/leaseDrift.
	leaseDrift = 10
)

// Options are the times and bounds of a replica; zero fields take defaults.
type Options struct {
	// Election is the shortest time without a leader before an election.
	Election time.Duration
	// Heartbeat is the leader's sending interval.
	Heartbeat time.Duration
	// MaxBatch bounds the bytes of entries in one Append.
	MaxBatch int
	// Chunk bounds the bytes of one SnapshotChunk.
	Chunk int
}

func (o Options) withDefaults() Options {
	o.Election = cmp.Or(o.Election, DefaultElection)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.Chunk = cmp.Or(o.Chunk, DefaultChunk)
	return o
}
