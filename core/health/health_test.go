// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/health"
)

var now = time.Unix(1_000_000, 0)

func TestRecentSuccessOutweighsAbsenceFromList(t *testing.T) {
	var h health.Target
	require.True(t, h.Usable(now), "nothing is known yet")
	require.False(t, h.WithListing(health.Absent).Usable(now))
	answering := h.WithResult(true, now).WithListing(health.Absent)
	require.True(t, answering.Usable(now.Add(5*time.Second)), "absent from the list but answering")
	require.False(t, answering.Usable(now.Add(time.Minute)))
	require.False(t, h.WithResult(true, now).WithListing(health.Leaving).Usable(now), "leaving outweighs answers")
}

func TestLaterLoadReportClearsLeaving(t *testing.T) {
	h, ok := health.Target{}.WithReport(1, 5, true, now)
	require.True(t, ok)
	require.False(t, h.Usable(now))
	stale, ok := h.WithReport(1, 4, false, now)
	require.False(t, ok, "an outdated report")
	require.False(t, stale.Usable(now))
	h, ok = h.WithReport(1, 6, false, now)
	require.True(t, ok)
	require.True(t, h.Usable(now))
	reportedByPeer := h.WithLeavingFromPeer(now)
	require.False(t, reportedByPeer.Usable(now))
	require.False(t, reportedByPeer.ReportsLeaving(now), "another host's report is not forwarded")
	require.True(t, reportedByPeer.Usable(now.Add(time.Minute)))
	restarted, ok := reportedByPeer.WithReport(2, 1, false, now)
	require.True(t, ok, "a new process restarts the sequence numbers")
	require.True(t, restarted.Usable(now))
}

func TestEjectionTimeDoublesWithFailures(t *testing.T) {
	h := health.Target{}
	for range 2 {
		h = h.WithResult(false, now)
	}
	require.True(t, h.Usable(now))
	h = h.WithResult(false, now)
	require.False(t, h.Usable(now))
	require.True(t, h.Usable(now.Add(2*time.Second)), "the ejection has ended")
	for range 20 {
		h = h.WithResult(false, now)
	}
	require.False(t, h.Usable(now.Add(29*time.Second)))
	require.True(t, h.Usable(now.Add(31*time.Second)))
	require.False(t, h.PresumedDead(now.Add(30*time.Second)))
	require.True(t, h.PresumedDead(now.Add(2*time.Minute)))
	require.False(t, h.WithResult(true, now).PresumedDead(now.Add(2*time.Minute)))
}

// TestRecentFailuresAreNotForgotten guards against failures of a target that gets few requests being
// forgotten before they are enough to eject it.
func TestRecentFailuresAreNotForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	target := health.Target{}.WithResult(false, now)
	require.False(t, target.IsForgettable(now.Add(10*time.Second), time.Minute))
	require.True(t, target.IsForgettable(now.Add(61*time.Second), time.Minute))
}
