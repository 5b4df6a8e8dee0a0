// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const beatTime = 1200 * time.Millisecond

func stateOf(t *testing.T, r registry.Registry, id ident.Target) registry.State {
	t.Helper()
	w, ok := r.Get(id)
	require.True(t, ok)
	return w.State
}

func processOf(id ident.Target, seq uint64) registry.Worker {
	w := worker(seq, registry.Ready)
	w.ID = id
	return w
}

// TestAddressBelongsToTheLaterProcess lets a worker crash and another process register
// at its address: the earlier one gets no work any more, also when a heartbeat of it
// arrives that was on its way for long.
func TestAddressBelongsToTheLaterProcess(t *testing.T) {
	var r registry.Registry
	r, _ = r.WithHeartbeat(processOf("earlier", 7), start)
	r, changed := r.WithHeartbeat(processOf("later", 1), start.Add(2*time.Second))
	require.True(t, changed)
	require.Equal(t, registry.Silent, stateOf(t, r, "earlier"))
	require.Equal(t, registry.Ready, stateOf(t, r, "later"))
	r, changed = r.WithHeartbeat(processOf("earlier", 8), start.Add(3*time.Second))
	require.False(t, changed)
	require.Equal(t, registry.Silent, stateOf(t, r, "earlier"))
	require.Equal(t, registry.Ready, stateOf(t, r, "later"))
	require.Equal(t, 1, r.Ready())
}

// TestLateHeartbeatOfAStrangerDoesNotKeepAWorkerOut hears of the earlier process only
// after the later one, so that it seems to be the later one: the one that goes on
// sending heartbeats gets the address back.
func TestLateHeartbeatOfAStrangerDoesNotKeepAWorkerOut(t *testing.T) {
	var r registry.Registry
	now := start
	r, _ = r.WithHeartbeat(processOf("alive", 1), now)
	r, _ = r.WithHeartbeat(processOf("late", 9), now)
	require.Equal(t, registry.Silent, stateOf(t, r, "alive"))
	for seq := uint64(2); seq < 6; seq++ {
		now = now.Add(beatTime)
		r, _ = r.WithHeartbeat(processOf("alive", seq), now)
	}
	require.Equal(t, registry.Ready, stateOf(t, r, "alive"))
	require.Equal(t, registry.Silent, stateOf(t, r, "late"))
}

// TestWorkersWithoutAddressAreNotConfused registers two that name none.
func TestWorkersWithoutAddressAreNotConfused(t *testing.T) {
	var r registry.Registry
	for _, id := range []ident.Target{"a", "b"} {
		r, _ = r.WithHeartbeat(registry.Worker{ID: id, Seq: 1}, start)
	}
	require.Equal(t, 2, r.Ready())
}
