// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/health"
)

var now = time.Unix(1_000_000, 0)

func TestListIsWeighedAgainstEvidence(t *testing.T) {
	var h health.Target
	require.True(t, h.Usable(now), "nothing known")
	require.False(t, h.WithListing(health.Absent).Usable(now))
	answering := h.WithResult(true, now).WithListing(health.Absent)
	require.True(t, answering.Usable(now.Add(5*time.Second)), "wrongly dropped but answering")
	require.False(t, answering.Usable(now.Add(time.Minute)))
	require.False(t, h.WithResult(true, now).WithListing(health.Leaving).Usable(now), "leaving outweighs answers")
}

func TestOwnSignOfLeavingEndsByALaterReport(t *testing.T) {
	h, ok := health.Target{}.WithReport(1, 5, true, now)
	require.True(t, ok)
	require.False(t, h.Usable(now))
	stale, ok := h.WithReport(1, 4, false, now)
	require.False(t, ok, "a late report")
	require.False(t, stale.Usable(now))
	h, ok = h.WithReport(1, 6, false, now)
	require.True(t, ok)
	require.True(t, h.Usable(now))
	heard := h.WithLeavingFromPeer(now)
	require.False(t, heard.Usable(now))
	require.False(t, heard.ReportsLeaving(now), "what was heard is not passed on")
	require.True(t, heard.Usable(now.Add(time.Minute)))
	restarted, ok := heard.WithReport(2, 1, false, now)
	require.True(t, ok, "a new start counts from one again")
	require.True(t, restarted.Usable(now))
}

func TestFailuresEjectForLongerAndLonger(t *testing.T) {
	h := health.Target{}
	for range 2 {
		h = h.WithResult(false, now)
	}
	require.True(t, h.Usable(now))
	h = h.WithResult(false, now)
	require.False(t, h.Usable(now))
	require.True(t, h.Usable(now.Add(2*time.Second)), "tried again")
	for range 20 {
		h = h.WithResult(false, now)
	}
	require.False(t, h.Usable(now.Add(29*time.Second)))
	require.True(t, h.Usable(now.Add(31*time.Second)))
	require.False(t, h.PresumedDead(now.Add(30*time.Second)))
	require.True(t, h.PresumedDead(now.Add(2*time.Minute)))
	require.False(t, h.WithResult(true, now).PresumedDead(now.Add(2*time.Minute)))
}
