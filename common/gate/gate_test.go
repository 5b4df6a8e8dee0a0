// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gate_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/gate"
)

// TestFewAreInsideAtOnce sends many through a gate whose limit falls meanwhile.
func TestFewAreInsideAtOnce(t *testing.T) {
	g := gate.New(3)
	var inside, most atomic.Int64
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			pass, ok := g.Enter(nil)
			if !ok {
				t.Error("nothing ends the wait")
				return
			}
			n := inside.Add(1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			if i%50 == 0 {
				g.SetLimit(1 + i/100)
			}
			inside.Add(-1)
			pass.Leave()
			pass.Leave()
		})
	}
	all.Wait()
	require.LessOrEqual(t, most.Load(), int64(3))
	require.LessOrEqual(t, g.Limit(), 3)
}

// TestWaitEnds gives up waiting, and takes a pass from one that does nothing with it.
func TestWaitEnds(t *testing.T) {
	g := gate.New(1)
	held, ok := g.Enter(nil)
	require.True(t, ok)
	done := make(chan struct{})
	close(done)
	_, ok = g.Enter(done)
	require.False(t, ok)
	held.Leave()
	idle, ok := g.Enter(nil)
	require.True(t, ok)
	idle.EndAfter(time.Millisecond)
	next, ok := g.Enter(nil)
	require.True(t, ok, "the pass before has ended by itself")
	next.Leave()
}

// TestLimitLetsInWhoWaits raises the limit of a gate that lets nobody in.
func TestLimitLetsInWhoWaits(t *testing.T) {
	var g gate.Gate
	entered := make(chan bool)
	go func() {
		_, ok := g.Enter(nil)
		entered <- ok
	}()
	g.SetLimit(1)
	require.True(t, <-entered)
}
