// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestWritesCarryWallClockTime suspends the leader's machine for an hour. Leases must count
// that hour, but writes must carry the wall clock time, or replicas would judge the age of
// idempotency keys wrongly.
func TestWritesCarryWallClockTime(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(1, "k"), 3*time.Second))
	leader := f.leader()
	day := f.now
	f.now = f.now.Add(time.Hour)
	require.False(t, f.states[leader].Raft().LeaseHeld(f.now), "it was suspended for an hour")
	for _, id := range f.order {
		f.reduce(id, host.Suspended{Total: time.Hour})
	}
	f.run(8 * time.Second)
	require.True(t, f.putTable(f.leader(), f.table(2, "k"), 3*time.Second))
	written := f.states[f.leader()].Catalog().Time
	require.WithinDuration(t, day, written, time.Minute)
	require.True(t, written.After(day))
}
