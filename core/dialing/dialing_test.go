// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package dialing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/dialing"
)

// TestBackoffGrowsAndIsBounded draws series of failures: delays stay within the bounds of the last
// failure, and two hosts with other draws return at different moments.
func TestBackoffGrowsAndIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := dialing.Backoff{}
		for range rapid.IntRange(1, 20).Draw(t, "failures") {
			f := rapid.SampledFrom([]dialing.Failure{dialing.Refused, dialing.Unreachable, dialing.Overloaded}).Draw(t, "failure")
			next, wait := b.After(f, rapid.Uint64().Draw(t, "draw"))
			require.GreaterOrEqual(t, wait, 100*time.Millisecond)
			switch f {
			case dialing.Refused:
				require.Equal(t, b, next)
				require.Equal(t, 100*time.Millisecond, wait)
			case dialing.Unreachable:
				require.LessOrEqual(t, wait, 800*time.Millisecond)
			case dialing.Overloaded:
				require.LessOrEqual(t, wait, 3200*time.Millisecond)
			}
			b = next
		}
	})
	b := dialing.Backoff{}
	for range 6 {
		b, _ = b.After(dialing.Overloaded, 0)
	}
	_, short := b.After(dialing.Overloaded, 0)
	_, long := b.After(dialing.Overloaded, uint64(1600*time.Millisecond))
	require.Equal(t, 1600*time.Millisecond, short)
	require.Equal(t, 3200*time.Millisecond, long)
}

// TestReplyTimeoutFollowsReplyTimes guards against a connection to a slow process that is replaced,
// and against one to a prompt process that is kept for long after it has died.
func TestReplyTimeoutFollowsReplyTimes(t *testing.T) {
	r := dialing.ReplyTime{}
	require.Equal(t, dialing.MinReplyTimeout, r.Timeout())
	for range 20 {
		r = r.With(20 * time.Millisecond)
	}
	require.Equal(t, dialing.MinReplyTimeout, r.Timeout())
	for d := 100 * time.Millisecond; d < 3*time.Second; d += 100 * time.Millisecond {
		require.Greater(t, r.Timeout(), d, "replies become slower gradually")
		r = r.With(d)
	}
	for range 60 {
		r = r.With(20 * time.Millisecond)
	}
	require.Equal(t, dialing.MinReplyTimeout, r.Timeout(), "the process is prompt again")

	for _, want := range []time.Duration{2400, 4800, 9600, 10000, 10000} {
		r = r.WithTimeout()
		require.Equal(t, want*time.Millisecond, r.Timeout())
	}
	require.Equal(t, dialing.MinReplyTimeout, r.With(20*time.Millisecond).Timeout())
}
