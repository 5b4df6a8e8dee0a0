// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
)

// TestColdTimeIsToldAsOfNow has a worker tell how much longer it is cold, heartbeat after
// heartbeat: who asks learns what is left, whoever passes it on, and a heartbeat that says the
// same is no change.
func TestColdTimeIsToldAsOfNow(t *testing.T) {
	beat := func(r registry.Registry, seq uint64, cold, after time.Duration) (registry.Registry, bool) {
		w := registry.Worker{ID: "w", Pool: "p", Address: "10.0.0.1:80", Slots: 4, Seq: seq, Cold: cold}
		return r.WithHeartbeat(w, start.Add(after))
	}
	told := func(r registry.Registry, after time.Duration) time.Duration {
		workers, _ := r.After(0, 10, start.Add(after))
		require.Len(t, workers, 1)
		require.Equal(t, workers, r.InZone("", start.Add(after)))
		return workers[0].Cold
	}
	r, changed := beat(registry.Registry{}, 1, 3*time.Second, 0)
	require.True(t, changed)
	require.Equal(t, 2*time.Second, told(r, time.Second))
	r, changed = beat(r, 2, 1800*time.Millisecond, 1200*time.Millisecond)
	require.False(t, changed, "it says the same")
	require.Equal(t, time.Second, told(r, 2*time.Second))
	require.Zero(t, told(r, 4*time.Second))
	r, changed = beat(r, 3, 0, 3600*time.Millisecond)
	require.False(t, changed, "it is warm as it said")
	r, changed = beat(r, 4, 5*time.Second, 4800*time.Millisecond)
	require.True(t, changed, "it turned cold again")
	hub := registry.Registry{}
	for _, w := range r.InZone("", start.Add(5800*time.Millisecond)) {
		hub = hub.WithReport(w, start.Add(5900*time.Millisecond))
	}
	require.Equal(t, 3*time.Second, told(hub, 6900*time.Millisecond))
	_, changed = beat(r, 5, 0, 6*time.Second)
	require.True(t, changed, "it is warm before its time")
}
