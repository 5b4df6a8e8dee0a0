// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestShortProcessorIsSaidOnceASecond lets ticks come late for two seconds and then in
// time.
func TestShortProcessorIsSaidOnceASecond(t *testing.T) {
	var lines []string
	d := newDelays(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	now := time.Unix(100, 0)
	tick := func(n int, every time.Duration, beats uint64) {
		for range n {
			now = now.Add(every)
			d.ticked(now, 7, host.Counters{Heartbeats: beats})
		}
	}
	tick(1, tickInterval, 0)
	tick(20, tickInterval, 10)
	require.Empty(t, lines, "ticks in time are worth no line")
	tick(8, 300*time.Millisecond, 30)
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"tick_delay_ms"=250`)
	require.Contains(t, lines[0], `"beats"=20`)
	require.Contains(t, lines[0], `"events_waiting"=7`)
	tick(60, tickInterval, 30)
	require.LessOrEqual(t, len(lines), 3, "the line that ends the late time is the last one")
	require.EqualValues(t, 89, d.summary().Count)
}
