// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/crashes"
)

// TestSuspectsNeedProofOfProcessExit guards against applying the proof for one process of a
// worker to its other processes or to other workers.
func TestSuspectsNeedProofOfProcessExit(t *testing.T) {
	suspect := func(name, worker string, incarnation uint64) crashes.Suspect {
		return crashes.Suspect{Content: content(name), Incarnation: incarnation, Crash: crash(worker, 1, 0.5)}
	}
	now := start.Add(time.Second)
	var o crashes.Observer
	for _, s := range []crashes.Suspect{suspect("a", "w1", 0), suspect("b", "w1", 0), suspect("c", "w1", 1), suspect("d", "w2", 0)} {
		o = o.WithSuspect(s, now)
	}
	require.True(t, o.ProbeRequested("w1", 1, now))
	require.False(t, o.ProbeRequested("w1", 1, now.Add(time.Second)), "the probe is outdated")
	require.False(t, o.ProbeRequested("w2", 1, now))
	o = o.WithProcessAlive("w1", 1, now)
	require.True(t, o.ProbeRequested("w1", 1, now), "the proof is not later than the interruption")
	o = o.WithProcessAlive("w1", 1, now.Add(time.Millisecond))
	require.False(t, o.ProbeRequested("w1", 1, now))
	o, n := o.WithProcessExit("w1", 0, now)
	require.Equal(t, 2, n)
	require.Len(t, o.Reports().Recent(now), 2)
	o, n = o.WithProcessExit("w1", 0, now)
	require.Zero(t, n)
	o, n = o.WithProcessExit("w2", 0, now.Add(time.Minute))
	require.Zero(t, n, "the suspects have expired")
	require.Empty(t, o.Reports().Recent(now.Add(time.Minute)))
}

// TestObserverIsBounded adds more suspects and reports than are kept.
func TestObserverIsBounded(t *testing.T) {
	var o crashes.Observer
	for i := range 1000 {
		o = o.WithSuspect(crashes.Suspect{Content: content(fmt.Sprint(i)), Crash: crash("w", 0, 0)}, start)
	}
	o, n := o.WithProcessExit("w", 0, start)
	require.Equal(t, 256, n)
	r := o.Reports()
	for i := range 1000 {
		r = r.With(crashes.Report{Content: content(fmt.Sprint("more ", i)), SeenAt: start}, start)
	}
	require.LessOrEqual(t, len(r.Recent(start)), 256)
	require.Equal(t, r.Total, r.With(r.Recent(start)[3], start).Total, "the same again")
	require.Empty(t, r.Recent(start.Add(time.Minute)))
}
